package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

const adviceValidity = 3 * clock.Second

// newAdvisedHarness returns a harness with a job of one step on a queue with a policy.
func newAdvisedHarness(t *testing.T, workers int, step Step) *harness {
	t.Helper()
	b := newHarness(workers)
	q := Queue{Name: "q", Service: testService, MaxAttempts: 2, Slack: 2, Advice: &Advice{Base: 300, PerWorker: 2, Validity: adviceValidity}}
	must.NoError(t, b.Submit(Spec{ID: "job", Queue: q, Steps: []Step{step}}, func(error) {}))
	return b
}

// verdictFor returns a verdict that allows the given workers of a consultation and denies
// the others.
func verdictFor(c Consultation, allowed ...string) Verdict {
	v := Verdict{Consultation: c, Tickets: map[string]string{}, Validity: adviceValidity}
	for _, id := range allowed {
		v.Tickets[id] = "ticket-" + id
	}
	return v
}

// nextConsultation returns the next consultation, which must be the only one queued.
func (b *harness) nextConsultation(t *testing.T) Consultation {
	t.Helper()
	c, ok := b.NextConsultation()
	must.True(t, ok)
	_, more := b.NextConsultation()
	must.False(t, more, must.Sprint("a second consultation is queued"))
	return c
}

func TestPlacementNeedsTicket(t *testing.T) {
	b := newAdvisedHarness(t, 3, Step{Count: 2, CPU: 5000})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a run was placed without a ticket"))
	c := b.nextConsultation(t)
	must.Eq(t, "job.0.0", c.Step)
	must.SliceContainsAll(t, c.Workers, []string{"w0", "w1", "w2"})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a run was placed without a ticket"))
	b.ApplyVerdict(verdictFor(c, "w1"))
	first := b.placeAndStore()
	must.Len(t, 1, first, must.Sprint("w1 has room for one"))
	must.Eq(t, "w1", first[0].Worker)
	must.Eq(t, "ticket-w1", first[0].Ticket)
	b.OrderAnswered(first[0], Done)
	// The other workers are denied for good, so no consultation is needed until w1 has
	// room.
	b.clock.Advance(clock.Minute)
	b.placeAndStore()
	_, ok := b.NextConsultation()
	must.False(t, ok)
	b.report("w1", nil, endedRun(1, first[0], EndDone))
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a run was placed with an expired ticket"))
	c = b.nextConsultation(t)
	must.Eq(t, []string{"w1"}, c.Workers)
	b.ApplyVerdict(verdictFor(c, "w1"))
	must.Len(t, 1, b.placeAndStore())
}

func TestConsultationRetry(t *testing.T) {
	tests := map[string]struct {
		fail func(b *harness, c Consultation)
		wait clock.Millis
	}{
		"the policy request fails": {
			fail: func(b *harness, c Consultation) { b.ApplyVerdict(Verdict{Consultation: c, Failed: "status 429"}) },
			wait: adviceRetryDelay,
		},
		"the daemon that sent the request is gone": {
			fail: func(*harness, Consultation) {},
			wait: 300 + 2*2 + 2*adviceMargin,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newAdvisedHarness(t, 2, Step{Count: 1, CPU: 100})
			b.placeAndStore()
			tc.fail(b, b.nextConsultation(t))
			b.clock.Advance(tc.wait - 1)
			b.placeAndStore()
			_, ok := b.NextConsultation()
			must.False(t, ok)
			b.clock.Advance(1)
			b.placeAndStore()
			b.ApplyVerdict(verdictFor(b.nextConsultation(t), "w0"))
			must.Len(t, 1, b.placeAndStore())
		})
	}
}

func TestRefusedTicketIsRenewed(t *testing.T) {
	b := newAdvisedHarness(t, 1, Step{Count: 1, CPU: 100})
	b.placeAndStore()
	b.ApplyVerdict(verdictFor(b.nextConsultation(t), "w0"))
	o := b.placeAndStore()
	must.Len(t, 1, o)
	b.OrderAnswered(o[0], NoTicket)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the refused ticket was used again"))
	b.ApplyVerdict(verdictFor(b.nextConsultation(t), "w0"))
	again := b.placeAndStore()
	must.Len(t, 1, again)
	must.Eq(t, 2, again[0].Attempt)
}

func TestTicketAfterWorkerRestart(t *testing.T) {
	b := newAdvisedHarness(t, 1, Step{Count: 1, CPU: 100})
	b.placeAndStore()
	b.ApplyVerdict(verdictFor(b.nextConsultation(t), "w0"))
	w := testWorker(0)
	w.Born = 2
	b.UpdateWorker(w)
	must.SliceEmpty(t, b.placeAndStore())
	must.Eq(t, []string{"w0"}, b.nextConsultation(t).Workers)
}

func TestConsultationLimit(t *testing.T) {
	b := newHarness(2)
	q := Queue{Name: "q", Service: testService, MaxAttempts: 2, Slack: 2, Advice: &Advice{Base: 300, PerWorker: 2, Validity: adviceValidity}}
	for i := range 40 {
		must.NoError(t, b.Submit(Spec{ID: string(rune('a'+i%26)) + string(rune('a'+i/26)), Queue: q, Steps: []Step{{Count: 1, CPU: 100}}}, func(error) {}))
	}
	seen := map[string]bool{}
	for range 5 {
		b.placeAndStore()
		for n := 0; ; n++ {
			c, ok := b.NextConsultation()
			if !ok {
				must.LessEq(t, maxConsultations, n)
				break
			}
			must.False(t, seen[c.Step], must.Sprint("two consultations for one step"))
			seen[c.Step] = true
		}
	}
	must.MapLen(t, 40, seen)
}
