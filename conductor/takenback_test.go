package conductor_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/scheduler"
)

// TestTakenBackStartIsPlacedAgainSoon guards against a task that waits for a worker which holds its
// answer back, although nothing there can end.
func TestTakenBackStartIsPlacedAgainSoon(t *testing.T) {
	// The time from a start to its repetition, the poll that shows that it is due, the poll in
	// flight then, and a tenth of a second for the calls.
	const limit = 150 + 2*clock.Second + 100
	for offset := 50 * time.Millisecond; offset < time.Second; offset += 100 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var starts, refused atomic.Int64
				l := newStalledLeader(t, 4, clock.Minute, func(f conductor.Fleet) conductor.Fleet {
					send := f.Send
					f.Send = func(ctx context.Context, o scheduler.Order, epoch int64) scheduler.Outcome {
						if o.Kind != scheduler.Start || refused.Load() == 0 {
							return send(ctx, o, epoch)
						}
						// The first start has no answer, its repetition is refused.
						switch starts.Add(1) {
						case 1:
							time.Sleep(conductor.OrderTimeout.Duration())
							return scheduler.Unclear
						case 2:
							return scheduler.Unavailable
						default:
							return send(ctx, o, epoch)
						}
					}
					return f
				})
				must.NoError(t, l.Submit(t.Context(), testJob(1, 4)))
				time.Sleep(3*time.Second + offset)
				must.Eq(t, 4, l.pool.Starts())
				refused.Store(1)
				must.NoError(t, l.Submit(t.Context(), testJob(2, 1)))
				time.Sleep(limit.Duration())
				must.Eq(t, 5, l.pool.Starts(), must.Sprint("the task has no run"))
				must.SliceEmpty(t, l.pool.Violations())
			})
		})
	}
}
