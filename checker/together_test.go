package checker_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/checker"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

var (
	firstSeed = flag.Uint64("first-seed", 0, "first seed of TestTogether")
	seeds     = flag.Uint64("seeds", 8, "number of seeds of TestTogether")
)

// propose has a node change the configuration, if it may.
func (f *fleet) propose(n *node, items ...*schema.ChangeItem) error {
	r, err := n.replicator.Propose(f.local(n), &schema.Change{Operator: "ana", Items: items})
	if err != nil {
		return err
	}
	f.append(n, provider.StreamConfig, []*schema.Record{r}, n.replicator.Appended)
	return nil
}

func item(n *node, k declarer.Kind, name, document string) *schema.ChangeItem {
	version := n.replicator.State().Get(k, name).Version()
	return &schema.ChangeItem{Kind: string(k), Name: name, ExpectedVersion: version, Delete: document == "", Document: []byte(document)}
}

func (f *fleet) declare(t must.T) {
	f.run(10 * clock.Second)
	n := f.nodes[0]
	must.NoError(t, f.propose(n,
		item(n, declarer.KindDataCentre, "south", `{"name":"south","region":"trinidad"}`),
		item(n, declarer.KindDataCentre, "north", `{"name":"north","region":"trinidad"}`),
		item(n, declarer.KindTeam, "billing", `{"name":"billing","quota":{"processors":100000,"memory":"100TiB","accelerators":1000}}`),
		item(n, declarer.KindBatchJob, "roster", `{"name":"roster","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","idempotent":true}`),
		item(n, declarer.KindBatchJob, "invoice", `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s"}`),
		item(n, declarer.KindService, "faults", `{"name":"faults","team":"billing","replicas":3,"size":{"processors":1,"memory":"1GiB"},"latency-target":"50ms"}`),
		item(n, declarer.KindWatchJob, "stock", `{"name":"stock","team":"billing","size":{"processors":1,"memory":"1GiB"},"period":"10s","tracks":"stock"}`),
	))
	f.run(5 * clock.Second)
}

func (f *fleet) drain(n *node, centre string) {
	if !f.running(n) {
		return
	}
	name := declarer.DrainOfDataCentre(centre)
	document := `{"name":"` + name + `"}`
	if n.replicator.State().DataCentreDrained(centre) {
		document = ""
	}
	_ = f.propose(n, item(n, declarer.KindDrain, name, document))
}

func (f *fleet) submit() {
	f.ids++
	key := fmt.Sprintf("k%d", f.ids)
	job := []string{"roster", "invoice"}[f.rng.IntN(2)]
	exclusive := []string{"", "", "crossing-1", "crossing-2"}[f.rng.IntN(4)]
	home := []string{"south/0", "north/0"}[f.rng.IntN(2)]
	data := encode(&schema.Record{Id: key, AtMillis: int64(f.now.Now()), Body: &schema.Record_Intent{Intent: &schema.Intent{
		Key: key, Team: "billing", Job: job, Shard: home, Payload: []byte(key), Idempotent: job == "roster", ExclusiveKey: exclusive,
	}}})
	if _, err := f.log.Provider().Append(context.Background(), provider.StreamIntents, [][]byte{data}); coder.Of(err) == coder.LogDown {
		return
	}
	f.keys = append(f.keys, key)
	f.checker.Add(checker.WorkDeclared(0, key, exclusive, job == "invoice"))
}

// disturb changes one thing.
func (f *fleet) disturb() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	p := f.nodes[f.rng.IntN(len(f.nodes))]
	switch f.rng.IntN(15) {
	case 0:
		n.dead = true
	case 1:
		f.boot(n)
	case 2:
		n.pausedUntil = f.now.Now() + clock.Millis(f.rng.Int64N(int64(30*clock.Second)))
	case 3:
		n.cutFromLog = !n.cutFromLog
	case 4:
		w := f.hosts[n.centre][f.rng.IntN(2)].Name
		n.cutFrom[w] = !n.cutFrom[w]
	case 5:
		n.deaf[p.name] = !n.deaf[p.name]
	case 6:
		f.cutCentre(n.centre)
	case 7:
		f.log.SetFaults(imitator.LogFaults{Down: !f.log.Faults().Down})
	case 8:
		f.lost = f.rng.IntN(60)
	case 9:
		f.maxWait = clock.Millis(f.rng.Int64N(int64(10 * clock.Second)))
	case 10:
		for _, q := range f.nodes {
			f.boot(q)
		}
	case 11:
		f.drain(n, p.centre)
		f.drain(p, p.centre)
	case 12:
		w := f.workers[f.hosts[n.centre][f.rng.IntN(2)].Name]
		w.SetFaults(imitator.WorkerFaults{Down: !w.Faults().Down, LoseAnswers: f.rng.IntN(3)})
	case 13:
		f.workers[f.hosts[n.centre][f.rng.IntN(2)].Name].Restart()
	case 14:
		f.submit()
	}
}

// cutCentre cuts a data centre off from the log and from the other.
func (f *fleet) cutCentre(centre string) {
	for _, n := range f.nodes {
		if n.centre != centre {
			continue
		}
		n.cutFromLog = true
		for _, q := range f.nodes {
			if q.centre != centre {
				n.deaf[q.name] = true
				q.deaf[n.name] = true
			}
		}
	}
}

// heal ends every fault and lets all work end.
func (f *fleet) heal() {
	f.log.SetFaults(imitator.LogFaults{})
	f.lost, f.maxWait = 0, 0
	for _, w := range f.workers {
		w.SetFaults(imitator.WorkerFaults{})
	}
	for _, n := range f.nodes {
		clear(n.deaf)
		clear(n.cutFrom)
		n.cutFromLog, n.lateConfig = false, false
		n.pausedUntil = 0
		if n.dead {
			f.boot(n)
		}
	}
	f.run(20 * clock.Second)
	for _, centre := range []string{"south", "north"} {
		if f.nodes[0].replicator.State().DataCentreDrained(centre) {
			f.drain(f.nodes[0], centre)
		}
	}
	for range 40 {
		f.run(10 * clock.Second)
		if f.open() == "" {
			break
		}
	}
	for _, key := range f.keys {
		if !f.told[key] {
			f.checker.Add(checker.WorkEnded(f.now.Now(), key))
		}
	}
}

// open gives some work that has not ended, whose end isn't unclear either.
func (f *fleet) open() string {
	for _, key := range f.keys {
		if !f.told[key] && !f.unclear(key) {
			return key
		}
	}
	return ""
}

func (f *fleet) unclear(key string) bool {
	for _, n := range f.nodes {
		if o := n.keeper.Outcome(key); o.Known() && o.Code() == coder.Unknown {
			return true
		}
	}
	return false
}

func (f *fleet) violations() string {
	for _, v := range f.checker.Violations(f.now.Now()) {
		return v.String()
	}
	return ""
}

// play goes through faults, and gives what was broken and what did not end.
func (f *fleet) play(t must.T, faults int) (string, string) {
	f.declare(t)
	for range faults {
		f.submit()
		f.disturb()
		f.run(clock.Millis(f.rng.Int64N(int64(8 * clock.Second))))
	}
	f.heal()
	return f.violations(), f.open()
}

// TestTogether: ownership, configuration and the keeping of tasks hold the rules
// together, and all work ends once every fault is over.
func TestTogether(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		f := newFleet(seed, breachNone)
		broken, open := f.play(t, 25)
		must.Eq(t, "", broken, must.Sprint("seed ", seed))
		must.Eq(t, "", open, must.Sprint("seed ", seed))
	}
}

// isolateOwner cuts the owner that runs the watch job off from all but the
// worker that runs it, and the others from that worker.
func (f *fleet) isolateOwner() {
	f.run(5 * clock.Second)
	for _, name := range slices.Sorted(maps.Keys(f.workers)) {
		running, _ := f.workers[name].Running()
		if !slices.ContainsFunc(running, func(i provider.Incarnation) bool { return i.Task == "watch/stock" }) {
			continue
		}
		for _, n := range f.nodes {
			if f.owns(n) {
				n.cutFromLog = true
				f.silence(n)
			} else {
				n.cutFrom[name] = true
			}
		}
	}
	f.run(clock.Minute)
}

func (f *fleet) owns(n *node) bool {
	_, held := n.claimer.Authority(n.keeper.Shard(), f.local(n))
	return held
}

func (f *fleet) silence(n *node) {
	for _, p := range f.nodes {
		n.deaf[p.name] = true
		p.deaf[n.name] = true
	}
}

// drainUnseen drains a data centre whose owner hears of no change, with work
// waiting.
func (f *fleet) drainUnseen() {
	for _, n := range f.nodes {
		if n.centre == "south" && f.owns(n) {
			n.lateConfig = true
			f.silence(n)
		}
	}
	f.drain(f.nodes[1], "south")
	for range 10 {
		f.submit()
		f.submit()
		f.run(2 * clock.Second)
	}
}

// join has a new daemon come while the others of the data centre that runs the
// watch job are cut off from the log, and from it, but not from each other; the
// worker that runs the job answers only them.
func (f *fleet) join() {
	for _, name := range slices.Sorted(maps.Keys(f.workers)) {
		running, _ := f.workers[name].Running()
		if !slices.ContainsFunc(running, func(i provider.Incarnation) bool { return i.Task == "watch/stock" }) {
			continue
		}
		last := f.nodes[4]
		last.centre = f.centreOf(name)
		last.dead = true
		f.run(15 * clock.Second)
		f.cutCentre(last.centre)
		last.cutFromLog = false
		f.boot(last)
		f.silence(last)
		last.cutFrom[name] = true
		break
	}
	f.run(2 * clock.Minute)
}

func (f *fleet) centreOf(worker string) string {
	for centre, hosts := range f.hosts {
		if slices.ContainsFunc(hosts, func(h provider.Host) bool { return h.Name == worker }) {
			return centre
		}
	}
	return ""
}

// TestTogetherFires: the rules find each breach, and nothing in the same faults
// without it.
func TestTogetherFires(t *testing.T) {
	tests := map[string]struct {
		breach breach
		faults func(f *fleet)
	}{
		"acts without authority":         {breach: breachAuthority, faults: (*fleet).isolateOwner},
		"starts with an old view":        {breach: breachStart, faults: (*fleet).drainUnseen},
		"takes earlier holders for gone": {breach: breachClear, faults: (*fleet).join},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fired := false
			for seed := uint64(0); seed < 5 && !fired; seed++ {
				must.Eq(t, "", broken(t, seed, breachNone, tc.faults))
				fired = broken(t, seed, tc.breach, tc.faults) != ""
			}
			must.True(t, fired)
		})
	}
}

func broken(t must.T, seed uint64, b breach, faults func(f *fleet)) string {
	f := newFleet(seed, b)
	f.declare(t)
	faults(f)
	f.heal()
	return f.violations()
}

func encode(r *schema.Record) []byte {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}
