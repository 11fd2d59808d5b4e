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
	w := newWorld(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	n := w.add("d1")
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
	must.Eq(t, 1, w.starts("july"))
	must.Eq(t, 1, w.starts("monday"))
}

// TestStartsAtOnce counts the steps from a submission to its start: placing,
// reading the record back and ordering need no wait for a timer.
func TestStartsAtOnce(t *testing.T) {
	w := newWorld(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	n := w.add("d1")
	must.NoError(t, n.claim(clock.Minute))
	w.run(2*clock.Second, 100)
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(200, 100)
	must.Eq(t, 1, w.starts("july"))
}

func TestReplicasRunAndMove(t *testing.T) {
	w := newWorld(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	w.declare(t, declarer.KindService, "faults", `{"name":"faults","team":"billing","replicas":3,"size":{"processors":1,"memory":"1GiB"},"latency-target":"50ms"}`)
	n := w.add("d1")
	must.NoError(t, n.claim(clock.Minute))
	w.run(2*clock.Second, 100)
	must.Eq(t, 3, w.starts("service/faults/"))
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
			w := newWorld(1, sizer.New(4000, 8*sizer.GiB, 0))
			w.declareUsual(t)
			n := w.add("d1")
			must.NoError(t, n.claim(clock.Minute))
			must.NoError(t, w.submit("july", "invoice", nil))
			w.run(tc.before, 100)
			must.NoError(t, w.cancel("july"))
			w.run(10*clock.Second, 100)
			must.Eq(t, coder.Cancelled, n.keeper.Outcome("july").Code())
			must.Eq(t, tc.starts > 0, n.keeper.Outcome("july").Ran())
			must.Eq(t, tc.starts, w.starts("july"))
			on, _ := w.workers["south-w0000"].Running()
			must.Len(t, 0, on)
		})
	}
}

func TestTakeoverAdopts(t *testing.T) {
	w := newWorld(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	a := w.add("d1")
	b := w.add("d2")
	must.NoError(t, a.claim(clock.Minute))
	must.NoError(t, w.submit("july", "invoice", nil))
	w.run(2*clock.Second, 100)
	delete(w.nodes, "d1")
	must.NoError(t, b.claim(clock.Minute))
	w.run(30*clock.Second, 100)
	must.Eq(t, coder.OK, b.keeper.Outcome("july").Code())
	must.Eq(t, 1, w.starts("july"))
}

func TestExclusiveKeyRunsAlone(t *testing.T) {
	w := newWorld(2, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	n := w.add("d1")
	must.NoError(t, n.claim(clock.Minute))
	for _, key := range []string{"a", "b"} {
		must.NoError(t, w.submit(key, "roster", func(i *schema.Intent) { i.ExclusiveKey = "crossing-7" }))
	}
	w.run(10*clock.Second, 100)
	must.Eq(t, 1, w.starts("a")+w.starts("b"))
	w.run(40*clock.Second, 100)
	must.Eq(t, coder.OK, n.keeper.Outcome("a").Code())
	must.Eq(t, coder.OK, n.keeper.Outcome("b").Code())
}

// TestLateStartIsFenced loses the answer to a start and lets the order come to
// the worker only after the inventory that asked about it.
func TestLateStartIsFenced(t *testing.T) {
	w := newWorld(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	n := w.add("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("july", "invoice", nil))
	var late *Order
	for late == nil {
		w.clock.Advance(100)
		n.tail()
		for _, o := range n.act() {
			if o.Kind() == OrderStart {
				late = o
				n.keeper.Done(w.clock.Now(), Result{order: o, err: errLost})
				continue
			}
			n.keeper.Done(w.clock.Now(), o.Do(t.Context(), w.provider()))
		}
		n.flush(n.put)
	}
	for range 6 {
		w.clock.Advance(100)
		n.step()
	}
	must.Eq(t, coder.Fenced, coder.Of(late.Do(t.Context(), w.provider()).Err()))
	w.run(5*clock.Second, 100)
	must.Eq(t, 1, w.starts("july"))
}

// TestLateStartIsRefused holds an order to start back: within its time it is
// heeded, and later it isn't, though its lease would still run.
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
			w := newWorld(1, sizer.New(4000, 8*sizer.GiB, 0))
			w.declareUsual(t)
			n := w.add("d1")
			must.NoError(t, n.claim(clock.Minute))
			must.NoError(t, w.submit("july", "invoice", nil))
			var held *Order
			for held == nil {
				w.clock.Advance(100)
				n.tail()
				for _, o := range n.act() {
					if o.Kind() == OrderStart {
						held = o
						continue
					}
					n.keeper.Done(w.clock.Now(), o.Do(t.Context(), w.provider()))
				}
				n.flush(n.put)
			}
			w.clock.Advance(tc.late)
			must.Eq(t, tc.want, coder.Of(held.Do(t.Context(), w.provider()).Err()))
		})
	}
}

func TestNeverFits(t *testing.T) {
	w := newWorld(1, sizer.New(4000, 8*sizer.GiB, 0))
	w.declareUsual(t)
	w.declare(t, declarer.KindBatchJob, "huge", `{"name":"huge","team":"billing","size":{"processors":64,"memory":"1GiB"},"run-time":"20s","idempotent":true}`)
	n := w.add("d1")
	must.NoError(t, n.claim(clock.Minute))
	must.NoError(t, w.submit("x", "huge", nil))
	w.run(40*clock.Second, 100)
	must.Eq(t, coder.NeverFits, n.keeper.Outcome("x").Code())
	must.False(t, n.keeper.Outcome("x").Ran())
}
