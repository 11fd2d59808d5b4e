package router

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Mode is whether an executor gets all attempts, single probes or none.
	Mode int32

	// Target is the state that one entry host keeps of an executor. It is reused when the
	// pool is replaced. It is safe for concurrent use.
	Target struct {
		host     provider.Host
		share    atomic.Int32
		mode     atomic.Int32
		inFlight atomic.Int32
		// waiting is the queue length at the executor that its last answer reported.
		waiting atomic.Int32
		window  *limiter.Window
		// latency is the moving average in units of 1/latencyUnit ms; 0 if unknown.
		latency  atomic.Int64
		answers  atomic.Int64
		failures atomic.Int32
		// leaving is when the executor reported that it is shutting down; 0 if it didn't.
		leaving atomic.Int64
		// freeBit is the bit in the newest pool that holds the target; nil before the
		// first.
		freeBit atomic.Pointer[bitRef]
	}

	// bitRef locates the bit of a target in its pool, which is set if the target has
	// capacity.
	bitRef struct {
		word *atomic.Uint64
		mask uint64
	}
)

// Modes of a Target.
const (
	// Open is the mode of an executor that gets attempts up to its limit.
	Open Mode = iota
	// Probing is the mode of an executor that gets one attempt at a time.
	Probing
	// Closed is the mode of an executor that gets no attempts.
	Closed
)

const (
	// latencyShift is the smoothing of a target's latency: an answer has a weight of 1/8.
	latencyShift = 3
	// SuspectFailures is the number of failures in a row from which a target gets only one
	// attempt at a time.
	SuspectFailures = 5
)

// NewTarget returns an open Target of which this entry host may use share slots.
func NewTarget(h provider.Host, share int) *Target {
	t := &Target{host: h, window: limiter.NewWindow(share)}
	t.share.Store(int32(share))
	return t
}

// Host returns the executor's address and properties.
func (t *Target) Host() provider.Host { return t.host }

// Share returns the number of slots that this entry host may use.
func (t *Target) Share() int { return int(t.share.Load()) }

// InFlight returns the number of attempts in flight from this entry host.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Mode returns the mode set by SetMode; Open at first.
func (t *Target) Mode() Mode { return Mode(t.mode.Load()) }

// Latency returns the moving average of the latency; 0 before the first answer.
func (t *Target) Latency() clock.Millis { return toMillis(t.latency.Load()) }

// Answers returns the number of answers so far.
func (t *Target) Answers() int64 { return t.answers.Load() }

// Failures returns the weighted number of failed attempts since the last answer.
func (t *Target) Failures() int { return int(t.failures.Load()) }

// SetShare sets the number of slots that this entry host may use. A larger share also
// resets the window to it.
func (t *Target) SetShare(n int) {
	old := int(t.share.Swap(int32(n)))
	if n > old {
		t.window.Reset(n)
	}
	t.refresh()
}

// SetMode sets the mode; attempts in flight are not affected.
func (t *Target) SetMode(m Mode) {
	t.mode.Store(int32(m))
	t.refresh()
}

// Release frees the slot that Acquire has taken.
func (t *Target) Release() {
	t.inFlight.Add(-1)
	t.refresh()
}

// Answered records an answer, its latency and the number of requests that it reports as
// waiting at the executor. It resets the failures.
func (t *Target) Answered(d clock.Millis, waiting int) {
	t.failures.Store(0)
	t.answers.Add(1)
	t.waiting.Store(int32(waiting))
	t.window.Observe(waiting, t.Share())
	t.updateLatency(d)
	t.refresh()
}

func (t *Target) updateLatency(d clock.Millis) {
	x := max(int64(d)*latencyUnit, 1)
	old := t.latency.Load()
	if old == 0 {
		t.latency.CompareAndSwap(0, x)
		return
	}
	t.latency.CompareAndSwap(old, max(old+(x-old)>>latencyShift, 1))
}

// Failed records a failed attempt that counts as n failures, and returns the number of
// failures in a row.
func (t *Target) Failed(n int) int {
	weight := t.failures.Add(int32(n))
	t.refresh()
	return int(weight)
}

// Abandoned records an attempt that was given up after d without an answer. d is a lower
// bound of its latency, so it counts only if it exceeds the average.
func (t *Target) Abandoned(d clock.Millis) {
	if int64(d)*latencyUnit > t.latency.Load() {
		t.updateLatency(d)
	}
}

// ResetStats resets the latency, the failures and the reported queue length, before a probe.
func (t *Target) ResetStats() {
	t.latency.Store(0)
	t.failures.Store(0)
	t.waiting.Store(0)
	t.refresh()
}

// SetLeaving marks the executor as shutting down, as it reported at now. It gets no
// attempts until the mark is removed.
func (t *Target) SetLeaving(now clock.Millis) {
	t.leaving.Store(int64(now))
	t.refresh()
}

// Leaving reports whether the executor is shutting down.
func (t *Target) Leaving() bool { return t.leaving.Load() > 0 }

// LeavingSince returns when the executor reported that it is shutting down; 0 if it
// didn't.
func (t *Target) LeavingSince() clock.Millis { return clock.Millis(t.leaving.Load()) }

// ClearLeaving removes the mark that SetLeaving set, so that the executor gets attempts again.
func (t *Target) ClearLeaving() {
	t.leaving.Store(0)
	t.refresh()
}

// DecayLatency moves the latency of a target that had no answers for some time towards the mean
// of the service, so that a target that was slow once is tried again.
func (t *Target) DecayLatency(mean clock.Millis) {
	old := t.latency.Load()
	t.latency.CompareAndSwap(old, old+(int64(mean)*latencyUnit-old)>>latencyShift)
	t.waiting.Store(0)
}

// Acquire takes a slot for an attempt and reports whether the target had capacity for it.
func (t *Target) Acquire() bool {
	for {
		n := t.inFlight.Load()
		if n >= t.limit() {
			t.refresh()
			return false
		}
		if t.inFlight.CompareAndSwap(n, n+1) {
			if n+1 >= t.limit() {
				t.refresh()
			}
			return true
		}
	}
}

// limit returns how many attempts may be in flight at present.
func (t *Target) limit() int32 {
	switch {
	case t.Leaving(), t.Mode() == Closed:
		return 0
	case t.Mode() == Probing, t.failures.Load() >= SuspectFailures:
		return min(1, t.share.Load())
	}
	return int32(t.window.Limit(t.Share()))
}

func (t *Target) hasCapacity() bool { return t.inFlight.Load() < t.limit() }

// refresh updates the target's bit in its pool. After clearing it checks the capacity
// again, since a concurrent Release may have set the bit just before it was cleared.
func (t *Target) refresh() {
	p := t.freeBit.Load()
	if p == nil {
		return
	}
	if !t.hasCapacity() {
		p.word.And(^p.mask)
	}
	if t.hasCapacity() && p.word.Load()&p.mask == 0 {
		p.word.Or(p.mask)
	}
}

// cost returns the cost of one more attempt for comparing targets: the latency, increased
// by the attempts in flight, the requests waiting at the executor and the failures.
func (t *Target) cost() int64 {
	slots := int64(max(t.host.Slots, 1))
	load := slots + int64(t.inFlight.Load()) + 2*int64(t.waiting.Load())
	return t.latency.Load() * load / slots * (1 + int64(t.failures.Load()))
}
