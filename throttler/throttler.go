// Package throttler relieves services that batch work disturbs: it throttles
// first, then moves the task whose removal helps most for the least work lost,
// and waits for each action's effect to be seen before the next.
package throttler

import (
	"cmp"
	"math"
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Throttler keeps what was done on each worker. It is used by one
	// goroutine.
	Throttler struct {
		workers map[string]*record
		high    float64
		low     float64
		settle  clock.Millis
		calm    clock.Millis
		window  clock.Millis
		share   float64
		spent   []clock.Millis
	}

	// Option sets up a Throttler.
	Option func(*Throttler)

	// record is what is remembered of one worker.
	record struct {
		actedAt   clock.Millis
		calmSince clock.Millis
		isCalm    bool
	}
)

const (
	defaultHigh   = 1.0
	defaultLow    = 0.7
	defaultSettle = 10 * clock.Second
	defaultCalm   = 60 * clock.Second
	defaultWindow = clock.Minute
	defaultShare  = 0.1

	whole       = 1000
	firstStep   = 500
	secondStep  = 200
	leastRelief = 0.02
	// maxSteps bounds the actions on one worker at a time.
	maxSteps = 4
)

// New gives a Throttler that has done nothing.
func New(opts ...Option) (*Throttler, error) {
	t := &Throttler{
		workers: map[string]*record{},
		high:    defaultHigh, low: defaultLow,
		settle: defaultSettle, calm: defaultCalm,
		window: defaultWindow, share: defaultShare,
	}
	for _, o := range opts {
		o(t)
	}
	if t.low >= t.high || t.settle < 0 || t.calm < 1 || t.share <= 0 {
		return nil, errors.New("throttler.New: low must be below high, and spans and share positive")
	}
	return t, nil
}

// WithThresholds sets the pressure from which on a worker is relieved and that
// under which throttled tasks are let go.
func WithThresholds(low, high float64) Option {
	return func(t *Throttler) {
		t.low = low
		t.high = high
	}
}

// WithSettle sets how much of the time after an action a sample must lie in to
// show its effect.
func WithSettle(d clock.Millis) Option { return func(t *Throttler) { t.settle = d } }

// WithEvictionShare sets the part of the workers that may evict within a
// minute.
func WithEvictionShare(part float64) Option { return func(t *Throttler) { t.share = part } }

// Forget drops what is remembered of a worker.
func (t *Throttler) Forget(worker string) { delete(t.workers, worker) }

// Mitigating tells whether a worker was acted on and has not been calm since.
func (t *Throttler) Mitigating(worker string) bool {
	r := t.workers[worker]
	return r != nil && r.actedAt > 0 && !r.isCalm
}

// NeedsAction tells whether a worker of this pressure is to be relieved.
func (t *Throttler) NeedsAction(pressure float64) bool { return pressure > t.high }

// Step gives what to do now. The views with the highest pressure go first. A
// worker's actions are those whose expected relief together is enough.
func (t *Throttler) Step(now clock.Millis, views []View) []Action {
	t.spent = slices.DeleteFunc(t.spent, func(at clock.Millis) bool { return at <= now-t.window })
	budget := int(math.Ceil(t.share*float64(len(views)))) - len(t.spent)
	order := slices.Clone(views)
	slices.SortFunc(order, func(a, b View) int {
		return cmp.Or(cmp.Compare(b.pressure, a.pressure), cmp.Compare(a.worker, b.worker))
	})
	var out []Action
	for _, v := range order {
		for _, a := range t.act(now, v, budget) {
			if a.evict {
				budget--
				t.spent = append(t.spent, now)
			}
			out = append(out, a)
		}
	}
	return out
}

func (t *Throttler) act(now clock.Millis, v View, evictions int) []Action {
	r := t.workers[v.worker]
	if r == nil {
		r = &record{}
		t.workers[v.worker] = r
	}
	if v.seenUntil < r.actedAt+t.settle && r.actedAt > 0 {
		return nil
	}
	r.follow(now, v.pressure < t.low)
	var out []Action
	switch {
	case t.NeedsAction(v.pressure):
		out = relieve(v, v.pressure-t.high, evictions)
	case r.isCalm && now-r.calmSince >= t.calm:
		out = relax(v)
	}
	if len(out) > 0 {
		r.actedAt = now
		r.isCalm = false
	}
	return out
}

// follow notes since when the worker has been calm.
func (r *record) follow(now clock.Millis, calm bool) {
	if calm && !r.isCalm {
		r.calmSince = now
	}
	r.isCalm = calm
}

// relieve takes the steps that help most for the least cost, one for a task,
// until they are expected to take the excess off.
func relieve(v View, excess float64, evictions int) []Action {
	order := slices.Clone(v.candidates)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.worth(), a.worth()), cmp.Compare(a.task, b.task))
	})
	var out []Action
	for _, c := range order {
		if excess <= 0 || len(out) == maxSteps {
			break
		}
		if c.relief < leastRelief {
			continue
		}
		a := c.next(v.worker)
		if a.evict && evictions <= 0 {
			continue
		}
		if a.evict {
			evictions--
		}
		excess -= c.relief * (1 - float64(a.permille)/float64(max(c.permille, 1)))
		out = append(out, a)
	}
	return out
}

// next gives the step that relieves further.
func (c Candidate) next(worker string) Action {
	switch {
	case c.permille > firstStep:
		return Action{worker: worker, task: c.task, permille: firstStep}
	case c.permille > secondStep:
		return Action{worker: worker, task: c.task, permille: secondStep}
	}
	return Action{worker: worker, task: c.task, evict: true}
}

// relax gives one throttled task a step back, the one held down most first.
func relax(v View) []Action {
	best, found := Candidate{}, false
	for _, c := range v.candidates {
		if c.permille >= whole {
			continue
		}
		if !found || c.permille < best.permille || c.permille == best.permille && c.task < best.task {
			best, found = c, true
		}
	}
	if !found {
		return nil
	}
	next := whole
	if best.permille < firstStep {
		next = firstStep
	}
	return []Action{{worker: v.worker, task: best.task, permille: next}}
}
