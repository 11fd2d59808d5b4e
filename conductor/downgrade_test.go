package conductor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// TestSilenceRecordOutlivesDowngrade guards against a record of silence that an earlier program, which
// knows neither these records nor the clock that leaders hand on, has left in force.
func TestSilenceRecordOutlivesDowngrade(t *testing.T) {
	tests := map[string]struct {
		// renewal is that of the claim before the third leader's, 0 if it is one of the earlier
		// program and has none.
		renewal func() clock.Millis
	}{
		"the earlier program was the last":   {renewal: func() clock.Millis { return 0 }},
		"a leader after it has only claimed": {renewal: clock.System},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { playDowngrade(t, tc.renewal) })
	}
}

func playDowngrade(t *testing.T, renewal func() clock.Millis) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		p := imitator.NewPool(2, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return clock.Hour, scheduler.EndDone }, nil)
		p.Register(l)
		startLeader := func(epoch int64, r *clock.Relay, renewal clock.Millis, f conductor.Fleet) *conductor.Conductor {
			c, err := conductor.New(t.Context(), conductor.Term{Epoch: epoch, PredecessorStopped: true, LastRenewal: clock.System, Relay: r, PredecessorRenewal: renewal},
				l.Client("h"), f, scheduler.New(scheduler.WithLease(testLease)), testLease, imitator.DecodeEntry)
			must.NoError(t, err)
			return c
		}
		// The first claim with a time starts the clock with the time of day.
		newRelay := func() *clock.Relay { return clock.NewRelay(clock.System, clock.System(), clock.System()) }
		first := startLeader(1, newRelay(), 0, p.Fleet())
		must.NoError(t, first.Submit(t.Context(), scheduler.Spec{
			ID: lastingJob, Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
			Steps: []scheduler.Step{{Count: 1, CPU: 1000, LongRunning: true}},
		}))
		time.Sleep(time.Second)
		must.SliceLen(t, 1, p.Busy())
		worker := p.Busy()[0]
		p.SetPartitioned(worker, true)
		time.Sleep(3 * time.Second)
		first.Close()
		p.SetPartitioned(worker, false)
		// The earlier program extends the lease.
		second := startLeader(2, nil, 0, p.Fleet())
		time.Sleep(20 * time.Second)
		must.Eq(t, 1, p.Starts())
		second.Close()
		// The third leader does not reach the worker.
		f := p.Fleet()
		poll := f.Poll
		f.Poll = func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
			if q.Worker == worker {
				recorder.Sleep(ctx, q.Timeout)
				return scheduler.Report{}, scheduler.Unclear
			}
			return poll(ctx, q, epoch)
		}
		third := startLeader(3, newRelay(), renewal(), f)
		defer third.Close()
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, p.Violations(), must.Sprint(p.Violations()))
		must.Eq(t, 2, p.Starts())
	})
}
