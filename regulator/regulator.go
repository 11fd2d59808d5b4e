// Package regulator decides how much work the leader takes on when its host has too little processor
// time, or too narrow a link, for what is asked of it. It knows neither jobs nor workers, only how
// many starts the host sends and how long they take to be answered.
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
		// average over windows; 0 before the first such window. The time of a window in which the
		// host had nothing to send does not count.
		rate float64
		// windowFrom is the start of the current window, windowStarts the number of starts in
		// it. Of windowRounds rounds of placing, windowLimited were limited.
		windowFrom                                clock.Millis
		windowStarts, windowRounds, windowLimited int
		// windowBusy is the time of the window that followed limited rounds, in which the host had
		// more to send than it could. windowStarts were answered in it or up to burstTime later.
		windowBusy clock.Millis
		// roundAt is when the last round was, or when the window began if that is later; limited is
		// whether it was limited, busyUntil the end of the time that followed limited rounds.
		roundAt, busyUntil clock.Millis
		limited            bool
		// limitedAt is the end of the last window in which starts were limited.
		limitedAt clock.Millis
	}
)

const (
	// burstTime is the time that the starts in flight may take until they are answered. Polls and
	// the renewal of the claim to lead, which keep promises, wait that long at most.
	burstTime = 150 * clock.Millis(1)
	// orderTime is how long a single order takes at most on a host that is not busy.
	orderTime = 10 * clock.Millis(1)
	// limitedShare is the share of the rounds of a window that have to be limited for the window
	// to count. Single rounds are limited on any host, when wide jobs come at once.
	limitedShare = 0.5
	// minBusyShare is the share of a window in which starts have to be limited for their rate to be
	// measured: twice burstTime, as those in flight at its begin and end count for one side only.
	minBusyShare = 0.3
	// minBurst and maxBurst bound StartLimit. Less than minBurst starts could all be for workers
	// that do not answer.
	minBurst, maxBurst = 32, 4096
	// minMeasured is the least number of answered starts whose cost is measured.
	minMeasured = 4
	// costWeight and rateWeight are the weights of the newest measurement in the moving
	// averages. A cost that falls counts by lowerCostWeight, so that a limit that was due to a
	// short trouble soon goes.
	costWeight, lowerCostWeight, rateWeight = 0.3, 0.6, 0.4
	// window is the time over which the rate of starts is measured.
	window = clock.Second
	// limitedTime is how long after starts were limited jobs may be refused.
	limitedTime = 3 * clock.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller returns.
	minRetryAfter, maxRetryAfter = clock.Second, 10 * clock.Second
)

// New returns a regulator that limits nothing yet.
func New(now func() clock.Millis) *Regulator {
	return &Regulator{now: now, windowFrom: now(), busyUntil: -burstTime}
}

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
	if r.limited || r.now()-r.busyUntil <= burstTime {
		r.windowStarts += n
	}
	if answered < minMeasured {
		return
	}
	cost, weight := float64(max(took-orderTime, 0))/float64(answered), costWeight
	if cost < r.startCost {
		weight = lowerCostWeight
	}
	r.startCost += weight * (cost - r.startCost)
}

// Round must be called after each round of placing. limited is whether tasks have to wait because of
// StartLimit.
func (r *Regulator) Round(limited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	// Of rounds in the same millisecond, one that was limited counts.
	sameTime := r.roundAt == r.now()
	r.countBusy()
	r.limited = limited || r.limited && sameTime
	r.windowRounds++
	if limited {
		r.windowLimited++
	}
}

// roll ends the current window if it is over.
func (r *Regulator) roll() {
	now := r.now()
	length := now - r.windowFrom
	if length < window {
		return
	}
	r.countBusy()
	if r.windowLimited > 0 && float64(r.windowLimited) >= limitedShare*float64(r.windowRounds) {
		least := minBusyShare * float64(length)
		rate := float64(r.windowStarts) * float64(clock.Second) / max(float64(r.windowBusy), least)
		if r.rate == 0 {
			r.rate = rate
		}
		if float64(r.windowBusy) >= least {
			r.rate += rateWeight * (rate - r.rate)
		}
		r.limitedAt = r.windowFrom + window
	}
	r.windowFrom, r.windowStarts, r.windowRounds, r.windowLimited, r.windowBusy = now, 0, 0, 0, 0
}

// countBusy adds the time since the last round to windowBusy if that round was limited.
func (r *Regulator) countBusy() {
	now := r.now()
	if r.limited {
		r.windowBusy += now - r.roundAt
		r.busyUntil = now
	}
	r.roundAt = now
}

// Admit decides whether a job of a number of tasks is accepted that is of use to its caller only if
// all of them are started within patience. ahead returns the tasks that go before it. It answers the
// load that the leader has too little processor time for; a lack of room on the workers is no reason.
func (r *Regulator) Admit(ahead func() []Arrival, tasks int, patience clock.Millis) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll()
	if r.rate == 0 || r.now()-r.limitedAt > limitedTime {
		return Admission{}
	}
	a := Admission{wait: backlogTime(append(ahead(), Arrival{Tasks: tasks}), r.rate)}
	if a.wait > patience {
		a.retryAfter = min(max(a.wait-patience, minRetryAfter), maxRetryAfter)
	}
	return a
}
