package ejector

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
)

// exceedsMaxEjected reports whether more than 1/maxEjectedDivisor of a pool is ejected.
func exceedsMaxEjected(ejected, pool int) bool { return ejected > pool/maxEjectedDivisor }

// TestLifecycle checks that each event is accepted exactly in its source states and leads
// to its destination.
func TestLifecycle(t *testing.T) {
	for _, state := range []string{Healthy, Ejected, Probing} {
		for _, e := range transitions {
			l := newLifecycle()
			l.SetState(state)
			allowed := false
			for _, src := range e.Src {
				allowed = allowed || src == state
			}
			err := l.Event(t.Context(), e.Name)
			must.Eq(t, allowed, err == nil)
			if allowed {
				must.Eq(t, e.Dst, l.Current())
			}
		}
	}
}

func TestCauses(t *testing.T) {
	tests := map[string]struct {
		bad  Report
		want Cause
	}{
		"healthy":      {bad: NewReport("0", 1, 100, 0, 20)},
		"few failures": {bad: NewReport("0", 1, 100, maxFailures-1, 20)},
		"max failures": {bad: NewReport("0", 1, 100, maxFailures, 20), want: CauseFailures},
		"slow":         {bad: NewReport("0", 1, 100, 0, 100), want: CauseLatency},
		"at factor":    {bad: NewReport("0", 1, 100, 0, 60)},
		"few answers":  {bad: NewReport("0", 1, minAnswers-1, 0, 100)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := New()
			reports := []Report{tc.bad}
			var initial []Report
			for i := range 9 {
				reports = append(reports, NewReport(fmt.Sprint(i+1), 1, 100, 0, 20))
			}
			for _, r := range reports {
				initial = append(initial, NewReport(r.address, 1, 0, 0, 0))
			}
			must.SliceEmpty(t, e.Step(0, initial))
			changes := e.Step(100, reports)
			if tc.want == "" {
				must.SliceEmpty(t, changes)
				return
			}
			must.Len(t, 1, changes)
			must.Eq(t, tc.want, changes[0].Cause())
			must.Eq(t, Ejected, e.State("0"))
		})
	}
}

// TestProbeAndRestore ejects an executor repeatedly. The ejection time must double each
// time, and the executor be restored when a probe succeeds.
func TestProbeAndRestore(t *testing.T) {
	e := New()
	reports := func(answers int64, failures int) []Report {
		return []Report{NewReport("x", 1, answers, failures, 20), NewReport("y", 1, 9, 0, 20), NewReport("z", 1, 9, 0, 20)}
	}
	now := clock.Millis(0)
	for n := range 4 {
		e.Step(now, reports(0, maxFailures))
		must.Eq(t, Ejected, e.State("x"))
		now += baseEjectionTime << n
		e.Step(now-1, reports(0, 0))
		must.Eq(t, Ejected, e.State("x"))
		e.Step(now, reports(0, 0))
		must.Eq(t, Probing, e.State("x"))
		now++
	}
	e.Step(now, reports(minAnswers, 0))
	must.Eq(t, Healthy, e.State("x"))
	must.Eq(t, 0, e.Ejected())
}

// TestMaxEjected checks with random pools and reports that at most a third of the
// executors and of the slots are ejected, also when the pool shrinks.
func TestMaxEjected(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e := New()
		for now := clock.Millis(0); now < 20*clock.Second; now += clock.Millis(rapid.IntRange(1, 2000).Draw(r, "step")) {
			var reports []Report
			for i := range rapid.IntRange(0, 12).Draw(r, "pool") {
				reports = append(reports, NewReport(fmt.Sprint(i), rapid.IntRange(0, 8).Draw(r, "slots"), int64(now), rapid.IntRange(0, 6).Draw(r, "failures"), clock.Millis(rapid.IntRange(0, 200).Draw(r, "latency"))))
			}
			e.Step(now, reports)
			ejected, ejectedSlots, slots := 0, 0, 0
			for _, p := range reports {
				slots += p.slots
				if e.State(p.address) == Ejected {
					ejected++
					ejectedSlots += p.slots
				}
			}
			must.False(t, exceedsMaxEjected(ejectedSlots, slots))
			must.Eq(t, ejected, e.Ejected())
			must.False(t, exceedsMaxEjected(ejected, len(reports)))
		}
	})
}

// TestExceedsMaxEjectedDetectsViolation checks the helper of TestMaxEjected.
func TestExceedsMaxEjectedDetectsViolation(t *testing.T) {
	must.True(t, exceedsMaxEjected(4, 9))
	must.False(t, exceedsMaxEjected(3, 9))
}
