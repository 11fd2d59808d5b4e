package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

// TestLongWaitReachesPlacer guards against a task that never reaches the placer, because tasks of a
// higher priority or of another kind that came later take its team's quota or its exclusive key.
func TestLongWaitReachesPlacer(t *testing.T) {
	tests := map[string]struct {
		old, later string
		wait       clock.Millis
		key        string
		want       string
	}{
		"batch task, quota":                           {old: "low", later: "high", wait: 199 * clock.Minute, want: "old"},
		"exclusive task, quota":                       {old: "low-once", later: "high-once", wait: 199 * clock.Minute, want: "old"},
		"exclusive task, key":                         {old: "low-once", later: "high-once", wait: 199 * clock.Minute, key: "ledger", want: "old"},
		"watch job behind exclusive tasks":            {old: "feed", later: "low-once", wait: clock.Minute, want: "old"},
		"priority counts before the wait makes up":    {old: "low", later: "high", wait: 197 * clock.Minute, want: "later"},
		"exclusive tasks go before batch tasks still": {old: "low", later: "low-once", wait: clock.Day, want: "later"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
			w.declareDefaults(t)
			w.change(t, declarer.KindTeam, "tight", `{"name":"tight","quota":{"processors":1,"memory":"1GiB"}}`)
			w.change(t, declarer.KindBatchJob, "low", `{"name":"low","team":"tight","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","idempotent":true,"priority":1}`)
			w.change(t, declarer.KindBatchJob, "high", `{"name":"high","team":"tight","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","idempotent":true,"priority":100}`)
			w.change(t, declarer.KindBatchJob, "low-once", `{"name":"low-once","team":"tight","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","priority":1}`)
			w.change(t, declarer.KindBatchJob, "high-once", `{"name":"high-once","team":"tight","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","priority":100}`)
			w.change(t, declarer.KindWatchJob, "feed", `{"name":"feed","team":"tight","size":{"processors":1,"memory":"1GiB"},"period":"1m","tracks":"news","priority":1}`)
			n := w.addNode("d1")
			var offered []string
			n.keeper.place = func(_ clock.Millis, waiting []placer.Task, _ []placer.Worker) []placer.Decision {
				for _, task := range waiting {
					offered = append(offered, task.ID())
				}
				return nil
			}
			set := func(i *schema.Intent) { i.ExclusiveKey = tc.key }
			must.NoError(t, w.submit("old", tc.old, set))
			w.clock.Advance(tc.wait)
			must.NoError(t, w.submit("later", tc.later, set))
			must.NoError(t, n.claim(clock.Minute))
			n.step()
			must.Eq(t, []string{tc.want}, offered)
		})
	}
}

// TestBackoffDoesNotBeginAnew guards against a daemon that reads the failure of a run late, for example
// after its own restart, and makes the task wait for the whole backoff again.
func TestBackoffDoesNotBeginAnew(t *testing.T) {
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	must.NoError(t, w.submit("k", "roster", nil))
	stream := provider.StreamOf(testCentre)
	epoch, err := w.put(stream, &schema.Record{Body: &schema.Record_Claim{Claim: &schema.Claim{Shard: testShard}}})
	must.NoError(t, err)
	const failures = 8
	for n := range int64(failures) {
		for _, s := range []schema.TaskState{schema.TaskState_TASK_STATE_STARTING, schema.TaskState_TASK_STATE_RETRYING} {
			e := &schema.TaskEvent{Task: "k", Shard: testShard, Epoch: int64(epoch), IntentsNext: 1, Incarnation: n + 1, State: s, Worker: "south-w0000"}
			_, err := w.put(stream, &schema.Record{Body: &schema.Record_Task{Task: e}})
			must.NoError(t, err)
		}
	}
	w.clock.Advance(backoff(failures) + 1)
	n := w.addNode("d1")
	n.stepKeeper()
	n.tailIntents()
	must.NoError(t, n.claim(clock.Minute))
	w.run(2*clock.Second, 100)
	must.Eq(t, 1, w.startCount("k"))
}

// TestStartOrdersGoByWait guards against a run whose start order is never sent, because later ones on
// the worker have lower names.
func TestStartOrdersGoByWait(t *testing.T) {
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	n.step()
	h := n.keeper.host("south-w0000")
	h.inflight = &Order{worker: h.name, sent: w.clock.Now()}
	for _, key := range []string{"z", "a"} {
		must.NoError(t, w.submit(key, "roster", nil))
		w.clock.Advance(clock.Second)
		n.step()
	}
	h.inflight = nil
	orders := n.stepKeeper()
	must.Len(t, 1, orders)
	must.Eq(t, "z", orders[0].Incarnation().Task)
}

// startsAfterSilence reports whether a task starts within an hour whose exclusive key another one holds
// that must not run twice and whose worker is silent, while the shard changes its owner at an interval.
func startsAfterSilence(t *testing.T, interval clock.Millis) bool {
	w := newCluster(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	nodes := []*node{w.addNode("a"), w.addNode("b")}
	must.NoError(t, nodes[0].claim(20*clock.Second))
	set := func(i *schema.Intent) { i.ExclusiveKey = "ledger" }
	must.NoError(t, w.submit("silent", "invoice", set))
	w.run(5*clock.Second, clock.Second/10)
	w.workerOf(t, "silent").SetFaults(imitator.WorkerFaults{Down: true})
	must.NoError(t, w.submit("next", "invoice", set))
	for n := 1; clock.Millis(n)*interval <= clock.Hour; n++ {
		w.run(interval, clock.Second)
		must.NoError(t, nodes[n%2].claim(20*clock.Second))
	}
	return w.startCount("next") == 1
}

// TestSilentHolderFreesExclusiveKey guards against tasks that wait for an exclusive key without a bound.
func TestSilentHolderFreesExclusiveKey(t *testing.T) {
	must.True(t, startsAfterSilence(t, 20*clock.Minute))
}

// TestSilentHolderFreesExclusiveKeyOverTakeovers guards against a wait for a silent worker's report that
// begins anew with each owner of the shard.
func TestSilentHolderFreesExclusiveKeyOverTakeovers(t *testing.T) {
	must.True(t, startsAfterSilence(t, 5*clock.Minute))
}
