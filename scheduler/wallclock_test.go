package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// handOver is a leader and the next one, whose times of day differ. All monotonic clocks run alike.
type handOver struct {
	former, next *harness
	wall         *clock.Manual
}

// newHandOver returns a leader with a worker. The time of day of the next leader is ahead of its own.
func newHandOver(ahead clock.Millis) *handOver {
	c := clock.NewManual(1_000_000)
	h := &handOver{wall: clock.NewManual(50_000_000)}
	h.former = &harness{Scheduler: New(WithClocks(c.Now, h.wall.Now)), clock: c}
	h.next = &harness{Scheduler: New(WithClocks(c.Now, func() clock.Millis { return h.wall.Now() + ahead })), clock: c}
	for _, b := range []*harness{h.former, h.next} {
		b.SetRelay(clock.NewRelay(c.Now, 5000, c.Now()))
		b.UpdateWorker(testWorker(0))
	}
	return h
}

func (h *handOver) advance(d clock.Millis) {
	h.former.clock.Advance(d)
	h.wall.Advance(d)
}

// load passes the records of a batch of the former leader to the next one.
func (h *handOver) load(t *testing.T, b *Batch) {
	t.Helper()
	for _, r := range b.Records {
		must.NoError(t, h.next.Load(r.Key, r.Value, h.next.clock.Now()))
	}
	h.next.report("w0", nil)
}

var clockDifferences = map[string]clock.Millis{
	"alike": 0, "5 s ahead": 5 * clock.Second, "5 s behind": -5 * clock.Second, "an hour ahead": clock.Hour, "an hour behind": -clock.Hour,
}

// TestJobStartsUnderAnyTimeOfDay guards against an accepted job that never starts, because the next
// leader's time of day is behind that of the leader that accepted it.
func TestJobStartsUnderAnyTimeOfDay(t *testing.T) {
	for name, ahead := range clockDifferences {
		t.Run(name, func(t *testing.T) {
			h := newHandOver(ahead)
			h.former.submit(t, "job", Step{Count: 2, CPU: 100})
			h.load(t, h.former.TakeBatch())
			arrivals := h.next.waitingOf(func(*job) bool { return true })
			must.SliceLen(t, 1, arrivals)
			must.Zero(t, arrivals[0].In)
			h.next.Sweep()
			must.SliceLen(t, 2, h.next.placeAndStore())
		})
	}
}

// TestJobStartsThoughClockStepsBack guards against a job that its own leader never starts, because the
// time of day steps back while the job is accepted.
func TestJobStartsThoughClockStepsBack(t *testing.T) {
	c, wall := clock.NewManual(1_000_000), clock.Millis(50_000_000)
	b := &harness{clock: c, Scheduler: New(WithClocks(c.Now, func() clock.Millis { wall -= 10; return wall }))}
	b.UpdateWorker(testWorker(0))
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.Sweep()
	must.SliceLen(t, 1, b.placeAndStore())
}
