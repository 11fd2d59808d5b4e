package conductor_test

import (
	"context"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// store returns a client of the store that makes no calls once the process is killed.
func (p *process) store(s recorder.Store) recorder.Store {
	return recorder.Store{
		Append: func(ctx context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
			if p.storeless(ctx) {
				return 0, recorder.ErrUnclear
			}
			return s.Append(ctx, topic, at, items)
		},
		Read: func(ctx context.Context, topic string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
			if p.storeless(ctx) {
				return nil, 0, recorder.ErrUnclear
			}
			return s.Read(ctx, topic, from, wait)
		},
		ReadNewest: func(ctx context.Context, topic, after string) (recorder.Page, error) {
			if p.storeless(ctx) {
				return recorder.Page{}, recorder.ErrUnclear
			}
			return s.ReadNewest(ctx, topic, after)
		},
	}
}

// storeless reports whether the process does not reach the store, as stopped.
func (p *process) storeless(ctx context.Context) bool {
	if p.cutOff.Load() {
		<-ctx.Done()
		return true
	}
	return p.stopped(ctx)
}

// stopped reports whether the process was killed. It then waits for the end of the call, so that the
// caller does not go on at once.
func (p *process) stopped(ctx context.Context) bool {
	if !p.dead.Load() {
		return false
	}
	<-ctx.Done()
	return true
}

// fleet returns a client of the workers that makes no calls once the process is killed.
func (s *site) fleet(p *process) conductor.Fleet {
	f := s.pool.Fleet()
	return conductor.Fleet{
		Send: func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
			switch {
			case p.stopped(ctx):
				return scheduler.Unclear
			case s.refuses(o.Worker) && recorder.Sleep(ctx, 1):
				return scheduler.ConnectionRefused
			case !s.reached(p, o.Worker):
				recorder.Sleep(ctx, conductor.OrderTimeout)
				return scheduler.Unclear
			default:
				return f.Send(ctx, o, epoch)
			}
		},
		Poll: func(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
			switch {
			case p.stopped(ctx):
				return scheduler.Report{}, scheduler.Unclear
			case s.refuses(q.Worker) && recorder.Sleep(ctx, 1):
				return scheduler.Report{}, scheduler.ConnectionRefused
			case !s.reached(p, q.Worker):
				recorder.Sleep(ctx, q.Timeout)
				return scheduler.Report{}, scheduler.Unclear
			default:
				if s.latePolls.Load() && s.random.intN(12) == 0 {
					time.AfterFunc(time.Duration(s.random.intN(12_000))*time.Millisecond, func() { f.Poll(s.t.Context(), q, epoch) })
					recorder.Sleep(ctx, q.Timeout)
					return scheduler.Report{}, scheduler.Unclear
				}
				asked := clock.System()
				r, out := f.Poll(ctx, q, epoch)
				if left := q.Timeout - (clock.System() - asked); out == scheduler.Unclear && s.withoutReset.Load() && left > 0 {
					recorder.Sleep(ctx, left)
				}
				return r, out
			}
		},
	}
}
