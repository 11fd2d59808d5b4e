package scheduler

import (
	"cmp"
	"slices"
	"strconv"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Advice is how a queue's policy answers which workers may run a step.
	Advice struct {
		// Base is the time of an answer, PerWorker what each worker named adds to it.
		Base      clock.Millis `json:"base"`
		PerWorker clock.Millis `json:"per-worker"`
		// Validity is how long a ticket admits tasks.
		Validity clock.Millis `json:"validity"`
	}

	// Consultation asks which of some workers may run a step.
	Consultation struct {
		// Step names the step as "JOB.OCCURRENCE.STEP".
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
		// Limit is how long the answer may take.
		Limit clock.Millis `json:"limit"`
	}

	// Verdict is the answer to a consultation.
	Verdict struct {
		Consultation
		// Tickets has one for each worker that may run the step.
		Tickets map[string]string `json:"tickets,omitempty"`
		// Validity is how long the tickets admit tasks.
		Validity clock.Millis `json:"validity"`
		// Failed is why there is no answer; empty if there is one.
		Failed string `json:"failed,omitempty"`
	}

	// permits is what is known of who may run a step.
	permits struct {
		tickets map[string]ticket
		// denied has the workers that may not run the step; that never changes.
		denied map[string]bool
		// until is when the last ticket expires.
		until clock.Millis
		// asked is when the open consultation ends without an answer; 0 for none.
		asked clock.Millis
	}

	// ticket admits the tasks of a step to one life of a worker.
	ticket struct {
		text  string
		born  int64
		until clock.Millis
	}
)

const (
	// consultedWorkers bounds the workers of one consultation. The platform reckons
	// with one consultation of 30 workers a step.
	consultedWorkers = 30
	// consultationsNoted bounds the consultations kept for daemons that ask for one;
	// each round of placing finds them anew.
	consultationsNoted = 16
	// adviceMargin is allowed for an answer beyond the policy's own time: another
	// consultation of the same host may be before it.
	adviceMargin = clock.Second
	// adviceRetry is the pause after a consultation that failed.
	adviceRetry = 250 * clock.Millis(1)
	// ticketMargin is left of a ticket's validity when a run is placed, for the
	// record to be stored and the order to arrive.
	ticketMargin = 150 * clock.Millis(1)
)

// stepName returns the name of a step of an occurrence, as policies know it.
func (o *occurrence) stepName(step int) string {
	return o.job.spec.ID + "." + strconv.Itoa(o.number) + "." + strconv.Itoa(step)
}

func (o *occurrence) permitsOf(step int) *permits {
	if o.permits == nil {
		o.permits = map[int]*permits{}
	}
	p := o.permits[step]
	if p == nil {
		p = &permits{tickets: map[string]ticket{}, denied: map[string]bool{}}
		o.permits[step] = p
	}
	return p
}

// admitted reports whether a task may start on a worker now.
func (s *Scheduler) admitted(t *task, w *worker) bool {
	if t.job().spec.Queue.Advice == nil {
		return true
	}
	k, ok := t.occurrence.permitsOf(t.step).tickets[w.info.ID]
	return ok && k.born == w.info.Born && s.now()+ticketMargin <= k.until
}

// awaitsAdvice reports whether no worker at all may get a task of a step now.
func (o *occurrence) awaitsAdvice(step int, now clock.Millis) bool {
	return o.job.spec.Queue.Advice != nil && now+ticketMargin > o.permitsOf(step).until
}

// denied reports whether a task is known never to be admitted to a worker.
func (t *task) denied(w *worker) bool {
	return t.job().spec.Queue.Advice != nil && t.occurrence.permitsOf(t.step).denied[w.info.ID]
}

// ticketFor returns the ticket that goes with the start of a task, if its queue has a
// policy.
func (t *task) ticketFor(w *worker) string {
	if t.job().spec.Queue.Advice == nil {
		return ""
	}
	return t.occurrence.permitsOf(t.step).tickets[w.info.ID].text
}

// noteConsultation notes that the waiting tasks of a demand need to know of more
// workers. Those whose tickets have expired go first: they may run the step for sure.
func (s *Scheduler) noteConsultation(d demand, ws []*worker, now clock.Millis) {
	a := d.occurrence.job.spec.Queue.Advice
	p := d.occurrence.permitsOf(d.step)
	if now < p.asked || len(s.consultations) >= consultationsNoted {
		return
	}
	t := d.tasks[len(d.tasks)-1]
	step, tolerance := t.spec(), s.tolerance(t)
	var known, unknown []*worker
	for _, w := range ws {
		if !s.suits(t, step, w, tolerance) || s.admitted(t, w) {
			continue
		}
		if _, ok := p.tickets[w.info.ID]; ok {
			known = append(known, w)
		} else {
			unknown = append(unknown, w)
		}
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int { return cmp.Compare(s.score(t, step, b), s.score(t, step, a)) })
	c := Consultation{Step: d.occurrence.stepName(d.step)}
	for _, w := range append(known, unknown...) {
		if len(c.Workers) == consultedWorkers {
			break
		}
		c.Workers = append(c.Workers, w.info.ID)
	}
	if len(c.Workers) == 0 {
		return
	}
	c.Limit = a.Base + clock.Millis(len(c.Workers))*a.PerWorker + adviceMargin
	s.consultations = append(s.consultations, c)
}

// Consult returns the most urgent consultation that nobody carries out yet. Each must
// be answered by Advise.
func (s *Scheduler) Consult() (Consultation, bool) {
	for len(s.consultations) > 0 {
		c := s.consultations[0]
		s.consultations = s.consultations[1:]
		if p := s.permitsNamed(c.Step); p != nil {
			p.asked = s.now() + c.Limit + adviceMargin
			return c, true
		}
	}
	return Consultation{}, false
}

// permitsNamed returns those of a step, or nil if it is over.
func (s *Scheduler) permitsNamed(step string) *permits {
	t := s.find(step + ".0")
	if t == nil || t.job().phase.final() {
		return nil
	}
	return t.occurrence.permitsOf(t.step)
}

// Advise takes in the answer to a consultation.
func (s *Scheduler) Advise(v Verdict) {
	p := s.permitsNamed(v.Step)
	if p == nil {
		return
	}
	now := s.now()
	if v.Failed != "" {
		s.emit(logger.AdviceFailed, logger.String("step", v.Step), logger.Int("workers", int64(len(v.Workers))), logger.String("reason", v.Failed))
		p.asked = now + adviceRetry
		return
	}
	s.emit(logger.AdviceGiven, logger.String("step", v.Step), logger.Int("workers", int64(len(v.Workers))), logger.Int("allowed", int64(len(v.Tickets))))
	p.asked = 0
	for _, id := range v.Workers {
		w := s.workers[id]
		text, ok := v.Tickets[id]
		switch {
		case !ok:
			p.denied[id] = true
			delete(p.tickets, id)
		case w != nil:
			p.until = now + v.Validity
			p.tickets[id] = ticket{text: text, born: w.info.Born, until: p.until}
		}
	}
}

// ticketRefused takes note that a worker did not take the ticket of a task.
func (t *task) ticketRefused(w *worker) {
	p := t.occurrence.permitsOf(t.step)
	if k, ok := p.tickets[w.info.ID]; ok {
		k.until = 0
		p.tickets[w.info.ID] = k
	}
}
