package placer

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/shoenig/test/must"
)

var (
	tableFlag   = flag.Bool("table", false, "print the table of policies under all scenarios")
	tableRows   = flag.String("rows", "", "the policies to show, separated by commas; all if empty")
	tableFilter = flag.String("only", "", "show the scenarios whose DEPLOYMENT/SCENARIO contains this text; all if empty")
	tableSeeds  = flag.Int("seeds", 3, "number of seeds to run")
)

// TestTable prints the figures of every policy in every scenario:
//
//	go test ./placer -run TestTable -table -v -timeout 30m
func TestTable(t *testing.T) {
	if !*tableFlag {
		t.Skip("needs -table")
	}
	for _, d := range []deployment{crossguard, sorica} {
		for _, s := range scenarios() {
			if !strings.Contains(d.name+"/"+s.name, *tableFilter) {
				continue
			}
			t.Log("\n" + formatTable(t, d, s))
		}
	}
}

func selectedPolicies(all []policy) []policy {
	if *tableRows == "" {
		return all
	}
	var out []policy
	for _, p := range all {
		if slices.Contains(strings.Split(*tableRows, ","), p.name) {
			out = append(out, p)
		}
	}
	return out
}

func formatTable(t *testing.T, d deployment, s scenario) string {
	rows := selectedPolicies(policies())
	results := make([][]figures, len(rows))
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i, p := range rows {
		results[i] = make([]figures, *tableSeeds)
		for seed := range *tableSeeds {
			w := newSimulation(t, d, s, p, uint64(seed+1))
			wg.Go(func() {
				slots <- struct{}{}
				m := w.run()
				results[i][seed] = m.figures()
				<-slots
			})
		}
	}
	wg.Wait()
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: mean of %d seeds ± half the spread\n| policy |", d.name, s.name, *tableSeeds)
	for _, c := range results[0][0].columns() {
		fmt.Fprintf(&b, " %s |", c.name)
	}
	b.WriteString("\n")
	for i, p := range rows {
		fmt.Fprintf(&b, "| %s |", p.name)
		for c := range results[i][0].columns() {
			low, high, sum := math.Inf(1), math.Inf(-1), 0.0
			for _, f := range results[i] {
				v := f.columns()[c].value
				low, high, sum = min(low, v), max(high, v), sum+v
			}
			fmt.Fprintf(&b, " %.4g ±%.2g |", sum/float64(*tableSeeds), (high-low)/2)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestSimulationIsDeterministic runs the scenario with failing hosts twice with the same
// seed. The figures must be equal. They would differ if a placement depended on the
// iteration order of a map.
func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	run := func() figures {
		m := newSimulation(t, small, scenarios()[5], policy{name: "all on"}, 3).run()
		return m.figures()
	}
	must.Eq(t, run().columns(), run().columns(), must.Cmp(cmp.AllowUnexported(column{})))
}

// TestOvercommitIsDetected grants a host more than its capacity, bypassing Place, to
// check that the simulation counts it.
func TestOvercommitIsDetected(t *testing.T) {
	w := newSimulation(t, small, scenarios()[0], policy{name: "all on"}, 3)
	h := w.hosts[0]
	for i := range 3 {
		j := &simTask{task: batchOf(strconv.Itoa(i), sizeGiB(12, 1, 0)), family: w.families[0]}
		w.start(j, h)
	}
	must.Eq(t, 1, w.measures.overcommits)
}

// TestNoOvercommitInScenarios runs three scenarios on a small cluster. No host must be
// granted more than its capacity, batch tasks must finish, and 99% of urgent tasks must
// start within 9.6 s.
func TestNoOvercommitInScenarios(t *testing.T) {
	for _, s := range scenarios() {
		if s.name != "load shift" && s.name != "bad workers" && s.name != "centre out" {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, small, s, policy{name: "all on"}, 7)
			m := w.run()
			must.Eq(t, 0, m.overcommits)
			f := m.figures()
			must.Positive(t, f.finished)
			must.LessEq(t, 9.6, f.urgent)
		})
	}
}
