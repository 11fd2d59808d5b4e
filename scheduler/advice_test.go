package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

const adviceValidity = 3 * clock.Second

// advisedBench has a job of one step on a queue with a policy.
func advisedBench(t *testing.T, workers int, step Step) *bench {
	t.Helper()
	b := newBench(workers)
	q := Queue{Name: "q", Service: benchService, MaxAttempts: 2, Slack: 2, Advice: &Advice{Base: 300, PerWorker: 2, Validity: adviceValidity}}
	must.NoError(t, b.Submit(Spec{ID: "job", Queue: q, Steps: []Step{step}}, func(error) {}))
	return b
}

// verdict admits some workers of a consultation.
func verdict(c Consultation, allowed ...string) Verdict {
	v := Verdict{Consultation: c, Tickets: map[string]string{}, Validity: adviceValidity}
	for _, id := range allowed {
		v.Tickets[id] = "ticket-" + id
	}
	return v
}

// consulted returns the one consultation that is due.
func (b *bench) consulted(t *testing.T) Consultation {
	t.Helper()
	c, ok := b.Consult()
	must.True(t, ok)
	_, more := b.Consult()
	must.False(t, more, must.Sprint("a step is asked about twice at once"))
	return c
}

func TestStepWaitsForItsPolicy(t *testing.T) {
	b := advisedBench(t, 3, Step{Count: 2, CPU: 5000})
	must.SliceEmpty(t, b.store(), must.Sprint("a run without a ticket"))
	c := b.consulted(t)
	must.Eq(t, "job.0.0", c.Step)
	must.SliceContainsAll(t, c.Workers, []string{"w0", "w1", "w2"})
	must.SliceEmpty(t, b.store(), must.Sprint("a run without a ticket"))
	b.Advise(verdict(c, "w1"))
	first := b.store()
	must.Len(t, 1, first, must.Sprint("w1 has room for one"))
	must.Eq(t, "w1", first[0].Worker)
	must.Eq(t, "ticket-w1", first[0].Ticket)
	b.Answered(first[0], Done)
	// The other workers are denied for good, so nobody is asked again until w1 has room.
	b.clock.Advance(clock.Minute)
	b.store()
	_, ok := b.Consult()
	must.False(t, ok)
	b.list("w1", nil, endOf(1, first[0], EndDone))
	must.SliceEmpty(t, b.store(), must.Sprint("a run with an expired ticket"))
	c = b.consulted(t)
	must.Eq(t, []string{"w1"}, c.Workers)
	b.Advise(verdict(c, "w1"))
	must.Len(t, 1, b.store())
}

func TestConsultationThatFails(t *testing.T) {
	tests := map[string]struct {
		fail func(b *bench, c Consultation)
		wait clock.Millis
	}{
		"no answer from the policy": {
			fail: func(b *bench, c Consultation) { b.Advise(Verdict{Consultation: c, Failed: "status 429"}) },
			wait: adviceRetry,
		},
		"the daemon that asked is gone": {
			fail: func(*bench, Consultation) {},
			wait: 300 + 2*2 + 2*adviceMargin,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := advisedBench(t, 2, Step{Count: 1, CPU: 100})
			b.store()
			tc.fail(b, b.consulted(t))
			b.clock.Advance(tc.wait - 1)
			b.store()
			_, ok := b.Consult()
			must.False(t, ok)
			b.clock.Advance(1)
			b.store()
			b.Advise(verdict(b.consulted(t), "w0"))
			must.Len(t, 1, b.store())
		})
	}
}

func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	b := advisedBench(t, 1, Step{Count: 1, CPU: 100})
	b.store()
	b.Advise(verdict(b.consulted(t), "w0"))
	o := b.store()
	must.Len(t, 1, o)
	b.Answered(o[0], NoTicket)
	must.SliceEmpty(t, b.store(), must.Sprint("the same ticket again"))
	b.Advise(verdict(b.consulted(t), "w0"))
	again := b.store()
	must.Len(t, 1, again)
	must.Eq(t, 2, again[0].Attempt)
}

func TestTicketOfAFormerLife(t *testing.T) {
	b := advisedBench(t, 1, Step{Count: 1, CPU: 100})
	b.store()
	b.Advise(verdict(b.consulted(t), "w0"))
	w := benchWorker(0)
	w.Born = 2
	b.UpdateWorker(w)
	must.SliceEmpty(t, b.store())
	must.Eq(t, []string{"w0"}, b.consulted(t).Workers)
}

func TestConsultationsOfManyStepsAreBounded(t *testing.T) {
	b := newBench(2)
	q := Queue{Name: "q", Service: benchService, MaxAttempts: 2, Slack: 2, Advice: &Advice{Base: 300, PerWorker: 2, Validity: adviceValidity}}
	for i := range 40 {
		must.NoError(t, b.Submit(Spec{ID: string(rune('a'+i%26)) + string(rune('a'+i/26)), Queue: q, Steps: []Step{{Count: 1, CPU: 100}}}, func(error) {}))
	}
	seen := map[string]bool{}
	for range 5 {
		b.store()
		for n := 0; ; n++ {
			c, ok := b.Consult()
			if !ok {
				must.LessEq(t, consultationsNoted, n)
				break
			}
			must.False(t, seen[c.Step], must.Sprint("asked twice"))
			seen[c.Step] = true
		}
	}
	must.MapLen(t, 40, seen)
}
