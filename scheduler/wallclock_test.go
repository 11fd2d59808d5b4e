package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
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

// endJob runs a job of one task on a leader until its end is stored, and returns the batches.
func (h *handOver) endJob(t *testing.T, id string) []*Batch {
	t.Helper()
	b := h.former
	b.submit(t, id, Step{Count: 1, CPU: 100})
	b.Place()
	first := b.TakeBatch()
	o := b.storeBatch(first)[0]
	b.OrderAnswered(o, Done)
	b.report(o.Worker, nil, endedRun(1, o, EndDone))
	last := b.TakeBatch()
	b.storeBatch(last)
	return []*Batch{first, last}
}

// TestRetentionUnderAnyTimeOfDay guards against an ended job that is forgotten too early, or hardly ever,
// because the times of day of two leaders differ.
func TestRetentionUnderAnyTimeOfDay(t *testing.T) {
	for name, ahead := range clockDifferences {
		t.Run(name, func(t *testing.T) {
			h := newHandOver(ahead)
			batches := h.endJob(t, "job")
			h.advance(clock.Second)
			for _, b := range batches {
				h.load(t, b)
			}
			h.next.Sweep()
			h.advance(defaultRetention - 2*clock.Second)
			h.next.Sweep()
			must.True(t, h.next.HasJob("job"), must.Sprint("the job was forgotten before its retention was over"))
			h.advance(2 * clock.Second)
			h.next.Sweep()
			must.False(t, h.next.HasJob("job"), must.Sprint("the job is kept after its retention"))
		})
	}
}

// TestRetentionThoughClockSteps guards against the same within one term, in which the time of day steps.
func TestRetentionThoughClockSteps(t *testing.T) {
	for name, step := range clockDifferences {
		t.Run(name, func(t *testing.T) {
			h := newHandOver(0)
			h.endJob(t, "job")
			h.wall.Advance(step)
			h.advance(defaultRetention - clock.Second)
			h.former.Sweep()
			must.True(t, h.former.HasJob("job"))
			h.advance(2 * clock.Second)
			h.former.Sweep()
			must.False(t, h.former.HasJob("job"))
		})
	}
}

// TestRetentionOfRecordWithoutReading guards against forgetting at once, by a time of day that is ahead, what
// a program without readings has stored, and against a reading that the clock of the leaders has not reached.
func TestRetentionOfRecordWithoutReading(t *testing.T) {
	for name, r := range map[string]clock.Millis{"no reading": 0, "reading ahead of the clock": clock.Hour} {
		t.Run(name, func(t *testing.T) {
			h := newHandOver(clock.Hour)
			record := marshal(jobRecord{Version: 1, Spec: Spec{ID: "job"}, Phase: Completed, AcceptedAt: 50_000_000, EndedAt: 50_000_000, EndedReading: r})
			h.load(t, &Batch{Records: []Record{{Key: jobKey("job"), Value: record}}})
			h.next.Sweep()
			must.True(t, h.next.HasJob("job"))
			h.advance(defaultRetention + clock.Second)
			h.next.Sweep()
			must.False(t, h.next.HasJob("job"))
		})
	}
}

// TestAgeUnderAnyTimeOfDay guards against a job that counts as late, or as new for hours, because the times
// of day of two leaders differ.
func TestAgeUnderAnyTimeOfDay(t *testing.T) {
	for name, ahead := range clockDifferences {
		t.Run(name, func(t *testing.T) {
			h := newHandOver(ahead)
			must.NoError(t, h.former.Submit(Spec{ID: "job", Tenant: "t", Queue: Queue{Name: "q", Service: testService, Slack: 2, Target: clock.Second}, Steps: []Step{{Count: 1, CPU: 100, Estimate: clock.Second}}}, func(error) {}))
			h.advance(clock.Second)
			h.load(t, h.former.TakeBatch())
			j := h.next.jobs["job"]
			must.Eq(t, clock.Second, h.next.ageOf(j))
			must.Zero(t, h.next.rankOf(j).lateness)
			accepted := map[string]clock.Millis{}
			h.next.EachAccepted(5*clock.Second, func(_, id string, age clock.Millis) { accepted[id] = age })
			must.MapContainsKeys(t, accepted, []string{"job"})
			h.advance(3 * clock.Second)
			must.Eq(t, 1, h.next.rankOf(j).lateness)
		})
	}
}

// TestClockDifferenceIsLogged guards against times of day that differ without a line that says so.
func TestClockDifferenceIsLogged(t *testing.T) {
	for name, ahead := range clockDifferences {
		t.Run(name, func(t *testing.T) {
			h := newHandOver(ahead)
			lines := 0
			h.next.emit = func(e logger.Event, _ ...logger.Field) {
				if e == logger.ClocksDiffer {
					lines++
				}
			}
			h.former.submit(t, "job", Step{Count: 1, CPU: 100})
			h.load(t, h.former.TakeBatch())
			h.next.Sweep()
			h.next.Sweep()
			must.Eq(t, ahead != 0, lines == 1)
		})
	}
}
