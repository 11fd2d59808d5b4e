// Package throttler mitigates interference of batch tasks with services. It throttles
// batch tasks first, then evicts the task with the best ratio of pressure removed to work
// lost. After each action it waits for samples that show its effect.
//
// The pressure on a worker is the highest slowdown among its services divided by the
// slowdown that the service tolerates; above 1 a service is slowed too much. Shares of a
// task's processors are in thousandths.
package throttler

import (
	"cmp"
	"math"
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Throttler keeps the recent actions on each worker. It is not safe for concurrent
	// use.
	Throttler struct {
		workers map[string]*workerState
		high    float64
		low     float64
		// settleTime is the time after an action until its effect shows in samples.
		settleTime clock.Millis
		// relaxAfter is how long the pressure must be below low before a task's share is
		// raised.
		relaxAfter     clock.Millis
		evictionWindow clock.Millis
		evictionShare  float64
		// evictedAt lists the times of the evictions within the last evictionWindow.
		evictedAt []clock.Millis
	}

	// Option configures a Throttler.
	Option func(*Throttler)

	// workerState is the state of one worker. belowLow is set while its pressure is below
	// the low threshold.
	workerState struct {
		actedAt       clock.Millis
		belowLowSince clock.Millis
		belowLow      bool
	}
)

const (
	// defaultHigh is the pressure at which a service is slowed as much as it tolerates.
	defaultHigh           = 1.0
	defaultLow            = 0.7
	defaultSettleTime     = 10 * clock.Second
	defaultRelaxAfter     = 60 * clock.Second
	defaultEvictionWindow = clock.Minute
	defaultEvictionShare  = 0.1

	// Shares of a task's processors, in thousandths.
	fullShare      = 1000
	firstThrottle  = 500
	secondThrottle = 200
	// minContribution is the contribution to the pressure below which a task is neither
	// throttled nor evicted.
	minContribution = 0.02
	// maxActionsPerWorker is the most actions on one worker in a step.
	maxActionsPerWorker = 4
)

// New returns a Throttler that has taken no actions.
func New(opts ...Option) (*Throttler, error) {
	t := &Throttler{
		workers: map[string]*workerState{},
		high:    defaultHigh, low: defaultLow,
		settleTime: defaultSettleTime, relaxAfter: defaultRelaxAfter,
		evictionWindow: defaultEvictionWindow, evictionShare: defaultEvictionShare,
	}
	for _, o := range opts {
		o(t)
	}
	if t.low >= t.high || t.settleTime < 0 || t.relaxAfter < 1 || t.evictionShare <= 0 {
		return nil, errors.New("throttler.New: low must be below high, the settle time not negative, the relax time and the eviction share positive")
	}
	return t, nil
}

// WithThresholds sets the pressure above which batch tasks are throttled or evicted,
// high, and the pressure below which throttled tasks are relaxed, low. The gap between
// them is the hysteresis.
func WithThresholds(low, high float64) Option {
	return func(t *Throttler) {
		t.low = low
		t.high = high
	}
}

// WithSettleTime sets how long after an action a sample must end to be used for the next
// action, because earlier ones do not show the effect.
func WithSettleTime(d clock.Millis) Option { return func(t *Throttler) { t.settleTime = d } }

// WithEvictionShare sets the most evictions within a minute, as a fraction of the number of
// workers passed to Step.
func WithEvictionShare(share float64) Option { return func(t *Throttler) { t.evictionShare = share } }

// Forget deletes the state of a worker.
func (t *Throttler) Forget(worker string) { delete(t.workers, worker) }

// Mitigating reports whether the last action on a worker has not yet brought its pressure
// below the low threshold.
func (t *Throttler) Mitigating(worker string) bool {
	r := t.workers[worker]
	return r != nil && r.actedAt > 0 && !r.belowLow
}

// NeedsAction reports whether a worker with this pressure needs an action.
func (t *Throttler) NeedsAction(pressure float64) bool { return pressure > t.high }

// Step returns the actions to take now, for the workers with the highest pressure first:
// for each worker as many as are expected to bring its pressure below the high threshold,
// but at most maxActionsPerWorker.
func (t *Throttler) Step(now clock.Millis, views []View) []Action {
	t.evictedAt = slices.DeleteFunc(t.evictedAt, func(at clock.Millis) bool { return at <= now-t.evictionWindow })
	evictionBudget := int(math.Ceil(t.evictionShare*float64(len(views)))) - len(t.evictedAt)
	order := slices.Clone(views)
	slices.SortFunc(order, func(a, b View) int {
		return cmp.Or(cmp.Compare(b.pressure, a.pressure), cmp.Compare(a.worker, b.worker))
	})
	var out []Action
	for _, v := range order {
		for _, a := range t.actOnWorker(now, v, evictionBudget) {
			if a.evict {
				evictionBudget--
				t.evictedAt = append(t.evictedAt, now)
			}
			out = append(out, a)
		}
	}
	return out
}

// actOnWorker returns the actions for one worker. There are none until a sample ends at
// least settleTime after the last action.
func (t *Throttler) actOnWorker(now clock.Millis, v View, evictionBudget int) []Action {
	r := t.workers[v.worker]
	if r == nil {
		r = &workerState{}
		t.workers[v.worker] = r
	}
	if v.sampledUntil < r.actedAt+t.settleTime && r.actedAt > 0 {
		return nil
	}
	r.trackPressure(now, v.pressure < t.low)
	var out []Action
	switch {
	case t.NeedsAction(v.pressure):
		out = mitigate(v, v.pressure-t.high, evictionBudget)
	case r.belowLow && now-r.belowLowSince >= t.relaxAfter:
		out = relaxOne(v)
	}
	if len(out) > 0 {
		r.actedAt = now
		r.belowLow = false
	}
	return out
}

// trackPressure records since when the pressure has been below the low threshold.
func (r *workerState) trackPressure(now clock.Millis, belowLow bool) {
	if belowLow && !r.belowLow {
		r.belowLowSince = now
	}
	r.belowLow = belowLow
}

// mitigate returns the next actions on a worker, at most one for each task, in the order
// of benefit per cost, until their expected effect reaches excess, which is the pressure
// above the high threshold.
func mitigate(v View, excess float64, evictionBudget int) []Action {
	order := slices.Clone(v.candidates)
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.benefitPerCost(), a.benefitPerCost()), cmp.Compare(a.task, b.task))
	})
	var out []Action
	for _, c := range order {
		if excess <= 0 || len(out) == maxActionsPerWorker {
			break
		}
		if c.contribution < minContribution {
			continue
		}
		a := c.nextAction(v.worker)
		if a.evict && evictionBudget <= 0 {
			continue
		}
		if a.evict {
			evictionBudget--
		}
		excess -= c.contribution * (1 - float64(a.permille)/float64(max(c.permille, 1)))
		out = append(out, a)
	}
	return out
}

// nextAction returns the next stronger action against the task: throttle to half, to a
// fifth, evict.
func (c Candidate) nextAction(worker string) Action {
	switch {
	case c.permille > firstThrottle:
		return Action{worker: worker, task: c.task, permille: firstThrottle}
	case c.permille > secondThrottle:
		return Action{worker: worker, task: c.task, permille: secondThrottle}
	}
	return Action{worker: worker, task: c.task, evict: true}
}

// relaxOne raises the share of the most throttled task by one level.
func relaxOne(v View) []Action {
	mostThrottled, found := Candidate{}, false
	for _, c := range v.candidates {
		if c.permille >= fullShare {
			continue
		}
		if !found || c.permille < mostThrottled.permille || c.permille == mostThrottled.permille && c.task < mostThrottled.task {
			mostThrottled, found = c, true
		}
	}
	if !found {
		return nil
	}
	next := fullShare
	if mostThrottled.permille < firstThrottle {
		next = firstThrottle
	}
	return []Action{{worker: v.worker, task: mostThrottled.task, permille: next}}
}
