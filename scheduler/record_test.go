package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestUnusableRecordEndsNoTerm guards against a stored job that one leader after the other fails on.
func TestUnusableRecordEndsNoTerm(t *testing.T) {
	valid := Spec{ID: "job", Queue: Queue{Name: "q", Service: testService, MaxAttempts: 2}, Steps: []Step{{Count: 1, CPU: 100}}}
	tests := map[string]func(*jobRecord){
		"after a step that is not there": func(r *jobRecord) { r.Spec.Steps[0].After = []int{5} },
		"a negative step":                func(r *jobRecord) { r.Spec.Steps[0].After = []int{-1} },
		"a negative count":               func(r *jobRecord) { r.Spec.Steps[0].Count = -1 },
		"no steps":                       func(r *jobRecord) { r.Spec.Steps = nil },
		"a task of a negative occurrence": func(r *jobRecord) {
			r.Tasks = []taskRecord{{Occurrence: -1, Attempt: 1, Worker: "w0", Born: 1}}
		},
		"a done task twice": func(r *jobRecord) {
			r.Tasks = []taskRecord{{Attempt: 1, Done: true}, {Attempt: 1, Done: true}}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			r := jobRecord{Spec: valid, Phase: Running}
			r.Spec.Steps = []Step{valid.Steps[0]}
			change(&r)
			if err := b.Load(jobKey("job"), marshal(r), 0); err != nil {
				t.Logf("refused: %v", err)
			}
			b.submit(t, "other", Step{Count: 1, CPU: 100})
			b.report("w0", nil)
			b.Sweep()
			b.placeAndStore()
			must.Eq(t, 1, b.findTask("other.0.0.0").attempt)
			p, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, Running, p)
		})
	}
}
