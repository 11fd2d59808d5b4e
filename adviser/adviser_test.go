package adviser

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestVerdictsReachLeader checks that every verdict of a policy that takes 100 ms is
// delivered with the next call to the leader, and that the adviser continues after such a
// call has failed.
func TestVerdictsReachLeader(t *testing.T) {
	tests := map[string]struct {
		failFirst bool
		enabled   bool
		asked     int64
		answered  int64
	}{
		"no failure":            {enabled: true, asked: 10, answered: 9},
		"leader fails once":     {enabled: true, failFirst: true, asked: 7, answered: 6},
		"no queue has a policy": {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				var asked, answered atomic.Int64
				a := New(Funcs{
					Enabled: func() bool { return tc.enabled },
					Next: func(_ context.Context, v *scheduler.Verdict) (*scheduler.Consultation, error) {
						if v != nil {
							answered.Add(1)
						}
						if calls++; tc.failFirst && calls == 1 {
							return nil, errors.New("no leader")
						}
						return &scheduler.Consultation{Step: "job.0.0"}, nil
					},
					Ask: func(ctx context.Context, c scheduler.Consultation) scheduler.Verdict {
						asked.Add(1)
						recorder.Sleep(ctx, 100)
						return scheduler.Verdict{Consultation: c}
					},
				})
				recorder.Sleep(t.Context(), 940*clock.Millis(1))
				a.Close()
				must.Eq(t, tc.asked, asked.Load())
				must.Eq(t, tc.answered, answered.Load())
			})
		})
	}
}
