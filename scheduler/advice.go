package scheduler

import (
	"cmp"
	"slices"
	"strconv"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Advice describes the policy service of a queue, which decides which workers may run
	// a step.
	Advice struct {
		// Base and PerWorker estimate the response time of the policy service: Base plus
		// PerWorker for each worker in the request.
		Base      clock.Millis `json:"base"`
		PerWorker clock.Millis `json:"per-worker"`
		// Validity is how long a ticket may be used to start tasks.
		Validity clock.Millis `json:"validity"`
	}

	// Consultation is a request to the policy service, which returns which of the workers
	// may run a step.
	Consultation struct {
		// Step names the step as "JOB.OCCURRENCE.STEP".
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
		// Limit is the timeout of the request.
		Limit clock.Millis `json:"limit"`
	}

	// Verdict is the policy service's response to a consultation.
	Verdict struct {
		Consultation
		// Tickets maps each worker that may run the step to its ticket.
		Tickets map[string]string `json:"tickets,omitempty"`
		// Validity is how long the tickets may be used to start tasks.
		Validity clock.Millis `json:"validity"`
		// Failed is the reason why the consultation failed; empty on success.
		Failed string `json:"failed,omitempty"`
	}

	// admission holds the policy's decisions about the workers for one step.
	admission struct {
		tickets map[string]ticket
		// denied has the workers that may not run the step. A denial is final.
		denied map[string]bool
		// validUntil is when the newest ticket expires.
		validUntil clock.Millis
		// nextConsultation is the earliest time of the next consultation: the deadline of
		// the one in progress, or the end of the delay after a failed one. 0 means at any
		// time.
		nextConsultation clock.Millis
	}

	// ticket permits one process of a worker to run the tasks of a step.
	ticket struct {
		value      string
		born       int64
		validUntil clock.Millis
	}
)

const (
	// maxConsultedWorkers bounds the workers of one consultation. The platform's own
	// limit assumes one consultation of 30 workers for each step.
	maxConsultedWorkers = 30
	// maxConsultations bounds the queue of consultations, which each round of placing
	// rebuilds.
	maxConsultations = 16
	// adviceMargin is added to the expected response time of a consultation, which may
	// have to wait for another one from the same host.
	adviceMargin = clock.Second
	// adviceRetryDelay is the delay after a failed consultation.
	adviceRetryDelay = 250 * clock.Millis(1)
	// ticketMargin is the least remaining validity of a ticket when a run is placed: the
	// record has to be stored and the order delivered before the ticket expires.
	ticketMargin = 150 * clock.Millis(1)
)

// stepName returns the name that the policy service uses for a step of an occurrence.
func (o *occurrence) stepName(step int) string {
	return o.job.spec.ID + "." + strconv.Itoa(o.number) + "." + strconv.Itoa(step)
}

func (o *occurrence) admissionOf(step int) *admission {
	if o.admissions == nil {
		o.admissions = map[int]*admission{}
	}
	p := o.admissions[step]
	if p == nil {
		p = &admission{tickets: map[string]ticket{}, denied: map[string]bool{}}
		o.admissions[step] = p
	}
	return p
}

// admitted reports whether the policy lets a task start on a worker now.
func (s *Scheduler) admitted(t *task, w *worker) bool {
	if t.job().spec.Queue.Advice == nil {
		return true
	}
	k, ok := t.occurrence.admissionOf(t.step).tickets[w.info.ID]
	return ok && k.born == w.info.Born && s.now()+ticketMargin <= k.validUntil
}

// lacksTickets reports whether every ticket of a step has expired, so that no worker may
// get one of its tasks now.
func (o *occurrence) lacksTickets(step int, now clock.Millis) bool {
	return o.job.spec.Queue.Advice != nil && now+ticketMargin > o.admissionOf(step).validUntil
}

// denied reports whether the policy has denied a worker for the task's step.
func (t *task) denied(w *worker) bool {
	return t.job().spec.Queue.Advice != nil && t.occurrence.admissionOf(t.step).denied[w.info.ID]
}

// ticketFor returns the ticket to send with the start of a task, or "" if its queue has
// no policy.
func (t *task) ticketFor(w *worker) string {
	if t.job().spec.Queue.Advice == nil {
		return ""
	}
	return t.occurrence.admissionOf(t.step).tickets[w.info.ID].value
}

// queueConsultation queues a consultation about more workers for the waiting tasks of a
// demand. Workers with expired tickets come first, because the policy has allowed them
// before.
func (s *Scheduler) queueConsultation(d demand, ws []*worker, now clock.Millis) {
	a := d.occurrence.job.spec.Queue.Advice
	p := d.occurrence.admissionOf(d.step)
	if now < p.nextConsultation || len(s.consultations) >= maxConsultations {
		return
	}
	name := d.occurrence.stepName(d.step)
	if slices.ContainsFunc(s.consultations, func(c Consultation) bool { return c.Step == name }) {
		// Another part of the step has asked.
		return
	}
	t := d.tasks[len(d.tasks)-1]
	step, tolerance := t.spec(), s.tolerance(t)
	var expired, notConsulted []*worker
	for _, w := range ws {
		if !s.canRun(t, step, w, tolerance) || s.admitted(t, w) {
			continue
		}
		if _, ok := p.tickets[w.info.ID]; ok {
			expired = append(expired, w)
		} else {
			notConsulted = append(notConsulted, w)
		}
	}
	slices.SortStableFunc(notConsulted, func(a, b *worker) int { return cmp.Compare(s.score(t, step, b), s.score(t, step, a)) })
	c := Consultation{Step: name}
	for _, w := range append(expired, notConsulted...) {
		if len(c.Workers) == maxConsultedWorkers {
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

// NextConsultation removes and returns the most urgent queued consultation; the second result is
// false if there is none. Its verdict, also a failed one, must be passed to ApplyVerdict.
func (s *Scheduler) NextConsultation() (Consultation, bool) {
	for len(s.consultations) > 0 {
		c := s.consultations[0]
		s.consultations = s.consultations[1:]
		if p := s.admissionByName(c.Step); p != nil {
			p.nextConsultation = s.now() + c.Limit + adviceMargin
			return c, true
		}
	}
	return Consultation{}, false
}

// admissionByName returns the admission of the step with a name, or nil if the job has
// ended or is unknown.
func (s *Scheduler) admissionByName(step string) *admission {
	t := s.findTask(step + ".0")
	if t == nil || t.job().phase.final() {
		return nil
	}
	return t.occurrence.admissionOf(t.step)
}

// ApplyVerdict applies the verdict of a consultation.
func (s *Scheduler) ApplyVerdict(v Verdict) {
	p := s.admissionByName(v.Step)
	if p == nil {
		return
	}
	now := s.now()
	if v.Failed != "" {
		s.emit(logger.AdviceFailed, logger.String("step", v.Step), logger.Int("workers", int64(len(v.Workers))), logger.String("reason", v.Failed))
		p.nextConsultation = now + adviceRetryDelay
		return
	}
	s.emit(logger.AdviceGiven, logger.String("step", v.Step), logger.Int("workers", int64(len(v.Workers))), logger.Int("allowed", int64(len(v.Tickets))))
	p.nextConsultation = 0
	for _, id := range v.Workers {
		w := s.workers[id]
		value, ok := v.Tickets[id]
		switch {
		case !ok:
			p.denied[id] = true
			delete(p.tickets, id)
		case w != nil:
			p.validUntil = now + v.Validity
			p.tickets[id] = ticket{value: value, born: w.info.Born, validUntil: p.validUntil}
		}
	}
}

// invalidateTicket marks the ticket of a task as expired after the worker has refused it.
func (t *task) invalidateTicket(w *worker) {
	p := t.occurrence.admissionOf(t.step)
	if k, ok := p.tickets[w.info.ID]; ok {
		k.validUntil = 0
		p.tickets[w.info.ID] = k
	}
}
