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
	firstSeed = flag.Uint64("first-seed", 0, "first seed of TestComponentsTogether")
	seeds     = flag.Uint64("seeds", 8, "number of seeds of TestComponentsTogether")
)

// propose appends a configuration change by a node. It returns the replicator's error
// if the node may not propose changes now.
func (f *fleet) propose(n *node, items ...*schema.ChangeItem) error {
	r, err := n.replicator.Propose(f.localTime(n), &schema.Change{Operator: "ana", Items: items})
	if err != nil {
		return err
	}
	f.append(n, provider.StreamConfig, []*schema.Record{r}, n.replicator.Appended)
	return nil
}

// item returns a change that declares a configuration object, or deletes it if document
// is "".
func item(n *node, k declarer.Kind, name, document string) *schema.ChangeItem {
	version := n.replicator.State().Get(k, name).Version()
	return &schema.ChangeItem{Kind: string(k), Name: name, ExpectedVersion: version, Delete: document == "", Document: []byte(document)}
}

func (f *fleet) declareConfig(t must.T) {
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
	f.submitted++
	key := fmt.Sprintf("k%d", f.submitted)
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

// injectFault starts or ends one random fault, drains or restores data centres, or
// submits work.
func (f *fleet) injectFault() {
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
		n.cutFromWorkers[w] = !n.cutFromWorkers[w]
	case 5:
		n.blockedSenders[p.name] = !n.blockedSenders[p.name]
	case 6:
		f.cutCentre(n.centre)
	case 7:
		f.log.SetFaults(imitator.LogFaults{Down: !f.log.Faults().Down})
	case 8:
		f.lossPercent = f.rng.IntN(60)
	case 9:
		f.maxDelay = clock.Millis(f.rng.Int64N(int64(10 * clock.Second)))
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

// cutCentre cuts a data centre off from the log and from the other data centre.
func (f *fleet) cutCentre(centre string) {
	for _, n := range f.nodes {
		if n.centre != centre {
			continue
		}
		n.cutFromLog = true
		for _, q := range f.nodes {
			if q.centre != centre {
				n.blockedSenders[q.name] = true
				q.blockedSenders[n.name] = true
			}
		}
	}
}

// clearFaults ends every fault and drain, and runs until all work has ended, for at
// most 400 s.
func (f *fleet) clearFaults() {
	f.log.SetFaults(imitator.LogFaults{})
	f.lossPercent, f.maxDelay = 0, 0
	for _, w := range f.workers {
		w.SetFaults(imitator.WorkerFaults{})
	}
	for _, n := range f.nodes {
		clear(n.blockedSenders)
		clear(n.cutFromWorkers)
		n.cutFromLog, n.configBlocked = false, false
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
		if f.unfinished() == "" {
			break
		}
	}
	for _, key := range f.keys {
		if !f.answered[key] {
			f.checker.Add(checker.WorkEnded(f.now.Now(), key))
		}
	}
}

// unfinished returns the key of some work that has not ended, or "". Work with an unknown
// outcome is left out.
func (f *fleet) unfinished() string {
	for _, key := range f.keys {
		if !f.answered[key] && !f.outcomeUnknown(key) {
			return key
		}
	}
	return ""
}

// outcomeUnknown reports whether the outcome of the work is coder.Unknown at some daemon.
func (f *fleet) outcomeUnknown(key string) bool {
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

// runFaults injects random faults, then clears them. It returns the first violation and
// the key of some unfinished work, each "" if there is none.
func (f *fleet) runFaults(t must.T, faults int) (string, string) {
	f.declareConfig(t)
	for range faults {
		f.submit()
		f.injectFault()
		f.run(clock.Millis(f.rng.Int64N(int64(8 * clock.Second))))
	}
	f.clearFaults()
	return f.violations(), f.unfinished()
}

// TestComponentsTogether guards against violations that only arise from claimers,
// replicators and keepers interacting under random faults, and against work that doesn't
// end after all faults are cleared.
func TestComponentsTogether(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		f := newFleet(seed, defectNone)
		violation, unfinished := f.runFaults(t, 25)
		must.Eq(t, "", violation, must.Sprint("seed ", seed))
		must.Eq(t, "", unfinished, must.Sprint("seed ", seed))
	}
}

// isolateOwner partitions the worker that runs the watch job. Every owner is cut off
// from the log and the other daemons but still reaches that worker; all other daemons
// can't reach it.
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
				f.isolate(n)
			} else {
				n.cutFromWorkers[name] = true
			}
		}
	}
	f.run(clock.Minute)
}

// owns reports whether n has authority over the shard of its data centre.
func (f *fleet) owns(n *node) bool {
	_, held := n.claimer.Authority(n.keeper.Shard(), f.localTime(n))
	return held
}

func (f *fleet) isolate(n *node) {
	for _, p := range f.nodes {
		n.blockedSenders[p.name] = true
		p.blockedSenders[n.name] = true
	}
}

// drainWithStaleConfig drains a data centre whose owner can't read configuration
// changes, while work is waiting.
func (f *fleet) drainWithStaleConfig() {
	for _, n := range f.nodes {
		if n.centre == "south" && f.owns(n) {
			n.configBlocked = true
			f.isolate(n)
		}
	}
	f.drain(f.nodes[1], "south")
	for range 10 {
		f.submit()
		f.submit()
		f.run(2 * clock.Second)
	}
}

// addUnlistedDaemon starts a daemon in the data centre that runs the watch job. No claim
// lists the new daemon. The other daemons of that data centre are cut off from the log and from the
// new daemon, but not from each other, so the owner extends its authority by promises.
// The worker that runs the job is reachable for them and not for the new daemon.
func (f *fleet) addUnlistedDaemon() {
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
		f.isolate(last)
		last.cutFromWorkers[name] = true
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

// TestInjectedDefectsDetected shows that the rules detect each injected defect, and that
// the same faults without the defect break no rule.
func TestInjectedDefectsDetected(t *testing.T) {
	tests := map[string]struct {
		defect defect
		faults func(f *fleet)
	}{
		"acts without authority":          {defect: defectExpiredAuthority, faults: (*fleet).isolateOwner},
		"starts with stale configuration": {defect: defectStaleConfig, faults: (*fleet).drainWithStaleConfig},
		"ignores earlier holders":         {defect: defectNoClearAt, faults: (*fleet).addUnlistedDaemon},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			detected := false
			for seed := uint64(0); seed < 5 && !detected; seed++ {
				must.Eq(t, "", violationWithDefect(t, seed, defectNone, tc.faults))
				detected = violationWithDefect(t, seed, tc.defect, tc.faults) != ""
			}
			must.True(t, detected)
		})
	}
}

func violationWithDefect(t must.T, seed uint64, b defect, faults func(f *fleet)) string {
	f := newFleet(seed, b)
	f.declareConfig(t)
	faults(f)
	f.clearFaults()
	return f.violations()
}

func encode(r *schema.Record) []byte {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}
