package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// TestLostWorkerNamesItsLease guards against a wait for a lease whose cause the log can't tell.
func TestLostWorkerNamesItsLease(t *testing.T) {
	r, _ := recordOfRun(t, "job", 1)
	tests := map[string]struct {
		// inherited is whether a former leader started the run.
		inherited bool
		want      string
	}{
		"lease of this leader":   {want: "{lease-from this-leader} {lease-set-ms-ago 6320} {silent-ms 6320} {known-address true} {registered true}"},
		"lease of former leader": {inherited: true, want: "{lease-from former-leader} {lease-set-ms-ago 11320} {silent-ms 11320} {known-address true} {registered true}"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			if tc.inherited {
				b, _ = takeOver(t, registryOf(1), r)
			} else {
				b.submit(t, "job", Step{Count: 1, CPU: 100})
				b.OrderAnswered(b.placeAndStore()[0], Done)
			}
			var lost []string
			b.emit = func(e logger.Event, fs ...logger.Field) {
				if e == logger.WorkerLost {
					lost = append(lost, fmt.Sprint(fs[3:]))
				}
			}
			b.CallFailed("w0", 1, false)
			for range 1000 {
				b.Sweep()
				b.clock.Advance(20 * clock.Millis(1))
			}
			must.Eq(t, []string{"[" + tc.want + "]"}, lost)
		})
	}
}

// TestUnheardIdleWorkerIsAskedAgain guards against a worker whose lease is never extended again: its runs
// were given up after a call that was not heard, so that nothing asks it.
func TestUnheardIdleWorkerIsAskedAgain(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	o := b.placeAndStore()
	b.OrderAnswered(o[0], Done)
	b.report("w0", activeRuns(o...))
	b.storeBatch(b.TakeBatch())
	b.CallUnheard("w0", 1)
	b.clock.Advance(2 * defaultLease)
	b.Sweep()
	must.SliceEmpty(t, b.workers["w0"].tasks)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a start that the lease does not allow"))
	q, _ := b.Session("w0", 1)
	must.True(t, q.Busy)
	b.report("w0", nil)
	must.Len(t, 1, b.placeAndStore())
	_, ok := b.Lease("w0", 1)
	must.True(t, ok)
}
