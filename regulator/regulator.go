// Package regulator decides how much work the leader takes on when its host has too little processor
// time for what is asked of it. It knows neither jobs nor workers, only how long the host takes for
// the orders it sends and how many it manages to send.
package regulator

import (
	"sync"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Regulator limits the starts that are sent at a time and the jobs that are accepted. It is
	// safe for concurrent use.
	Regulator struct {
		now func() clock.Millis

		mu sync.Mutex
		// startCost is the time in ms that a start takes, an exponential moving average.
		startCost float64
		// rate is the number of starts per second while they are limited, an exponential moving
		// average over windows; 0 before the first such window.
		rate float64
		// windowFrom is the start of the current window, windowStarts the number of starts in
		// it, windowLimited whether they were limited in it.
		windowFrom    clock.Millis
		windowStarts  int
		windowLimited bool
		// limitedAt is when starts were last limited.
		limitedAt clock.Millis
	}
)

const (
	// burstTime is the time that the starts of one round may take until they are answered. What keeps
	// promises, such as polls and the renewal of the claim to lead, waits that long at most.
	burstTime = 150 * clock.Millis(1)
	// minBurst is the least number of starts in a round, so that their cost can be measured,
	// and maxBurst the greatest.
	minBurst, maxBurst = 8, 4096
	// costWeight and rateWeight are the weights of the newest measurement in the moving
	// averages.
	costWeight, rateWeight = 0.3, 0.4
	// window is the time over which the rate of starts is measured.
	window = clock.Second
	// limitedTime is how long after starts were limited jobs may be refused.
	limitedTime = 3 * clock.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller returns.
	minRetryAfter, maxRetryAfter = clock.Second, 10 * clock.Second
)

// New returns a regulator that limits nothing yet.
func New(now func() clock.Millis) *Regulator { return &Regulator{now: now, windowFrom: now()} }

// StartLimit returns how many starts may be unanswered at a time.
func (r *Regulator) StartLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startCost*maxBurst <= float64(burstTime) {
		return maxBurst
	}
	return max(int(float64(burstTime)/r.startCost), minBurst)
}

// Sent must be called for n starts that were sent at once. took is the time after which as many as
// answered had been answered.
func (r *Regulator) Sent(n, answered int, took clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	r.windowStarts += n
	if n >= minBurst {
		r.startCost += costWeight * (float64(took)/float64(answered) - r.startCost)
	}
}

// Limited must be called when tasks had to wait because of StartLimit.
func (r *Regulator) Limited() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	r.windowLimited, r.limitedAt = true, r.now()
}

// roll ends the current window if it is over.
func (r *Regulator) roll() {
	now := r.now()
	length := now - r.windowFrom
	if length < window {
		return
	}
	if r.windowLimited {
		rate := float64(r.windowStarts) * float64(clock.Second) / float64(length)
		if r.rate == 0 {
			r.rate = rate
		}
		r.rate += rateWeight * (rate - r.rate)
	}
	r.windowFrom, r.windowStarts, r.windowLimited = now, 0, false
}

// Admit reports whether a job may be accepted whose last task would be the one of the number waiting()
// that waits to be started, if the job is of use to its caller only if all of them are started
// within patience. If not, it returns the time after which they would be. It answers the load that
// the leader has too little processor time for; a lack of room on the workers is no reason.
func (r *Regulator) Admit(waiting func() int, patience clock.Millis) (retryAfter clock.Millis, admitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	if r.rate == 0 || r.now()-r.limitedAt > limitedTime {
		return 0, true
	}
	wait := clock.Millis(float64(waiting()) / r.rate * float64(clock.Second))
	if wait <= patience {
		return 0, true
	}
	return min(max(wait-patience, minRetryAfter), maxRetryAfter), false
}
