package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

func TestSubmittedWorkRunsOnce(t *testing.T) {
	w := newCluster(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("july", "invoice", nil))
	must.NoError(t, w.submit("july", "invoice", nil))
	must.NoError(t, w.submit("monday", "roster", nil))
	w.run(5*clock.Second, 100)
	must.Eq(t, coder.Pending, n.keeper.Outcome("july").Code())
	w.run(30*clock.Second, 100)
	must.Eq(t, coder.OK, n.keeper.Outcome("july").Code())
	must.Eq(t, "done: july", string(n.keeper.Outcome("july").Answer()))
	must.Eq(t, coder.OK, n.keeper.Outcome("monday").Code())
	must.False(t, n.keeper.Outcome("august").Known())
	must.Eq(t, 1, w.startCount("july"))
	must.Eq(t, 1, w.startCount("monday"))
}

// TestStartsAtOnce checks that a submitted task starts within two steps: placement,
// reading the record back and sending the order must not wait for a timer.
func TestStartsAtOnce(t *testing.T) {
	w := newCluster(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	w.run(2*clock.Second, 100)
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(200, 100)
	must.Eq(t, 1, w.startCount("july"))
}

// TestReplicasRunAndMove drains a worker. All replicas must then run on the other one.
func TestReplicasRunAndMove(t *testing.T) {
	w := newCluster(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	w.declare(t, declarer.KindService, "faults", `{"name":"faults","team":"billing","replicas":3,"size":{"processors":1,"memory":"1GiB"},"latency-target":"50ms"}`)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	w.run(2*clock.Second, 100)
	must.Eq(t, 3, w.startCount("service/faults/"))
	w.declare(t, declarer.KindDrain, "host.south-w0000", `{"name":"host.south-w0000"}`)
	w.run(5*clock.Second, 100)
	on0, _ := w.workers["south-w0000"].Running()
	on1, _ := w.workers["south-w0001"].Running()
	must.Len(t, 0, on0)
	must.Len(t, 3, on1)
}

func TestCancelled(t *testing.T) {
	tests := map[string]struct {
		before clock.Millis
		starts int
	}{
		"before the start": {before: 0, starts: 0},
		"while it runs":    {before: 5 * clock.Second, starts: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
			w.declareDefaults(t)
			n := w.addNode("d1")
			must.NoError(t, n.claim(clock.Minute))
			must.NoError(t, w.submit("july", "invoice", nil))
			w.run(tc.before, 100)
			must.NoError(t, w.cancel("july"))
			w.run(10*clock.Second, 100)
			must.Eq(t, coder.Cancelled, n.keeper.Outcome("july").Code())
			must.Eq(t, tc.starts > 0, n.keeper.Outcome("july").Ran())
			must.Eq(t, tc.starts, w.startCount("july"))
			on, _ := w.workers["south-w0000"].Running()
			must.Len(t, 0, on)
		})
	}
}

// TestTakeoverAdoptsRunningTask removes the owner while a task runs. The new owner must
// learn from the worker's inventory that the task is running, and not start it again.
func TestTakeoverAdoptsRunningTask(t *testing.T) {
	w := newCluster(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	a := w.addNode("d1")
	b := w.addNode("d2")
	must.NoError(t, a.claim(clock.Minute))
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(2*clock.Second, 100)
	delete(w.nodes, "d1")
	must.NoError(t, b.claim(clock.Minute))
	w.run(30*clock.Second, 100)
	must.Eq(t, coder.OK, b.keeper.Outcome("july").Code())
	must.Eq(t, 1, w.startCount("july"))
}

// TestExclusiveKeyRunsAlone submits two tasks with the same exclusive key. They must run
// one after the other, although there is room for both.
func TestExclusiveKeyRunsAlone(t *testing.T) {
	w := newCluster(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	for _, key := range []string{"a", "b"} {
		must.NoError(t, w.submit(key, "roster", func(i *schema.Intent) { i.ExclusiveKey = "crossing-7" }))
	}
	w.run(10*clock.Second, 100)
	must.Eq(t, 1, w.startCount("a")+w.startCount("b"))
	w.run(40*clock.Second, 100)
	must.Eq(t, coder.OK, n.keeper.Outcome("a").Code())
	must.Eq(t, coder.OK, n.keeper.Outcome("b").Code())
}

// TestLateStartIsFenced reports a start order as lost and delivers it after the inventory
// that follows. The worker must refuse the order, or the task would run twice.
func TestLateStartIsFenced(t *testing.T) {
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("july", "invoice", nil))
	var late *Order
	for late == nil {
		w.clock.Advance(100)
		n.tail()
		for _, o := range n.stepKeeper() {
			if o.Kind() == OrderStart {
				late = o
				n.keeper.ApplyResult(w.clock.Now(), Result{order: o, err: errLost})
				continue
			}
			n.keeper.ApplyResult(w.clock.Now(), o.Do(t.Context(), w.provider()))
		}
		n.flush(n.put)
	}
	for range 6 {
		w.clock.Advance(100)
		n.step()
	}
	must.Eq(t, coder.Fenced, coder.Of(late.Do(t.Context(), w.provider()).Err()))
	w.run(5*clock.Second, 100)
	must.Eq(t, 1, w.startCount("july"))
}

// TestLateStartIsRefused delays a start order. The worker must carry it out within
// maxStartDelay and refuse it afterwards, although the lease has not expired yet.
func TestLateStartIsRefused(t *testing.T) {
	tests := map[string]struct {
		late clock.Millis
		want coder.Code
	}{
		"in time":  {late: clock.Second, want: coder.OK},
		"too late": {late: 3 * clock.Second, want: coder.LeaseLapsed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
			w.declareDefaults(t)
			n := w.addNode("d1")
			must.NoError(t, n.claim(clock.Minute))
			must.NoError(t, w.submit("july", "invoice", nil))
			var delayed *Order
			for delayed == nil {
				w.clock.Advance(100)
				n.tail()
				for _, o := range n.stepKeeper() {
					if o.Kind() == OrderStart {
						delayed = o
						continue
					}
					n.keeper.ApplyResult(w.clock.Now(), o.Do(t.Context(), w.provider()))
				}
				n.flush(n.put)
			}
			w.clock.Advance(tc.late)
			must.Eq(t, tc.want, coder.Of(delayed.Do(t.Context(), w.provider()).Err()))
		})
	}
}

// TestNeverFits submits a task that is larger than every worker. It must be parked.
func TestNeverFits(t *testing.T) {
	w := newCluster(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareDefaults(t)
	w.declare(t, declarer.KindBatchJob, "huge", `{"name":"huge","team":"billing","size":{"processors":64,"memory":"1GiB"},"run-time":"20s","idempotent":true}`)
	n := w.addNode("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("x", "huge", nil))
	w.run(40*clock.Second, 100)
	must.Eq(t, coder.NeverFits, n.keeper.Outcome("x").Code())
	must.False(t, n.keeper.Outcome("x").Ran())
}
