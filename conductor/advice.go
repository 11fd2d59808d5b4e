package conductor

import (
	"context"

	"galenawharf.example/galenawharf/scheduler"
)

// adviser is a daemon that waits for a consultation to carry out.
type adviser struct {
	given chan scheduler.Consultation
}

// Consult returns the next consultation that this daemon's caller is to carry out and
// then answer by Advise. It waits for one; false means that there is none yet, or that
// the term is over.
func (c *Conductor) Consult(ctx context.Context) (scheduler.Consultation, bool) {
	a := &adviser{given: make(chan scheduler.Consultation, 1)}
	if !c.do(func() { c.advisers = append(c.advisers, a) }) {
		return scheduler.Consultation{}, false
	}
	select {
	case q := <-a.given:
		return q, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	c.do(func() {
		for i, o := range c.advisers {
			if o == a {
				c.advisers = append(c.advisers[:i], c.advisers[i+1:]...)
				return
			}
		}
	})
	// It may have been given one meanwhile, which is asked again after its limit.
	return scheduler.Consultation{}, false
}

// Advise takes in the answer to a consultation.
func (c *Conductor) Advise(v scheduler.Verdict) { c.do(func() { c.sched.Advise(v) }) }

// consult hands out what the scheduler wants to know to the daemons that wait.
func (c *Conductor) consult() {
	for len(c.advisers) > 0 {
		q, ok := c.sched.Consult()
		if !ok {
			return
		}
		a := c.advisers[0]
		c.advisers = c.advisers[1:]
		a.given <- q
	}
}
