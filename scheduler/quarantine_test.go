package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestQuarantineEndsAfterManyFailures guards against a worker that gets no run after its first probe run.
func TestQuarantineEndsAfterManyFailures(t *testing.T) {
	const failures = 8
	// Each test ends a probe run in another way than by a failure.
	tests := map[string]func(b *harness, probe Order, number int64){
		"probe done":    func(b *harness, o Order, n int64) { b.report("w0", nil, endedRun(n, o, EndDone)) },
		"probe stopped": func(b *harness, o Order, n int64) { b.report("w0", nil, endedRun(n, o, EndStopped)) },
		"probe lapsed":  func(b *harness, o Order, n int64) { b.report("w0", nil, endedRun(n, o, EndLapsed)) },
		"probe refused": func(b *harness, o Order, _ int64) { b.OrderAnswered(o, Unavailable) },
		"job cancelled": func(b *harness, o Order, n int64) {
			must.NoError(t, b.Cancel(o.Task.Job, "", func(error) {}))
			b.report("w0", nil, endedRun(n, o, EndStopped))
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			b.submit(t, "bad", Step{Count: failures, CPU: 100})
			var ended []EndedRun
			for i, o := range b.placeAndStore() {
				b.OrderAnswered(o, Done)
				ended = append(ended, endedRun(int64(i+1), o, EndFailed))
			}
			must.Len(t, failures, ended)
			b.report("w0", nil, ended...)
			must.NoError(t, b.Cancel("bad", "", func(error) {}))
			number := int64(failures)
			for i := range 4 {
				b.submit(t, fmt.Sprint("next", i), Step{Count: 1, CPU: 100})
				b.clock.Advance(quarantineTime)
				probe := b.placeAndStore()
				must.Len(t, 1, probe, must.Sprintf("no run after %d probe runs without a failure", i))
				if name != "probe refused" {
					b.OrderAnswered(probe[0], Done)
					number++
				}
				b.clock.Advance(clock.Second)
				end(b, probe[0], number)
				// The next probe is another task's.
				_ = b.Cancel(probe[0].Task.Job, "", func(error) {})
			}
		})
	}
}
