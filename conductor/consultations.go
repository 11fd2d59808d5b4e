package conductor

import (
	"context"

	"galenawharf.example/galenawharf/scheduler"
)

// consultWaiter is a daemon whose call of Consult waits for a consultation.
type consultWaiter struct {
	assigned chan scheduler.Consultation
}

// Consult returns the next consultation (a question to a queue's policy) that the caller
// has to carry out and answer by Advise. It blocks until there is one, and returns false
// if ctx ends or the term is over before that.
func (c *Conductor) Consult(ctx context.Context) (scheduler.Consultation, bool) {
	a := &consultWaiter{assigned: make(chan scheduler.Consultation, 1)}
	if !c.post(func() { c.consultWaiters = append(c.consultWaiters, a) }) {
		return scheduler.Consultation{}, false
	}
	select {
	case q := <-a.assigned:
		return q, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	c.post(func() {
		for i, o := range c.consultWaiters {
			if o == a {
				c.consultWaiters = append(c.consultWaiters[:i], c.consultWaiters[i+1:]...)
				return
			}
		}
	})
	// A consultation may have been assigned meanwhile. It is lost here; the scheduler
	// issues it again after its time limit.
	return scheduler.Consultation{}, false
}

// Advise passes the answer to a consultation to the scheduler.
func (c *Conductor) Advise(v scheduler.Verdict) { c.post(func() { c.sched.ApplyVerdict(v) }) }

// assignConsultations hands the scheduler's open consultations to the waiting daemons.
func (c *Conductor) assignConsultations() {
	for len(c.consultWaiters) > 0 {
		q, ok := c.sched.NextConsultation()
		if !ok {
			return
		}
		a := c.consultWaiters[0]
		c.consultWaiters = c.consultWaiters[1:]
		a.assigned <- q
	}
}
