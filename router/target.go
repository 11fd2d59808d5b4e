package router

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Mode says how far an executor is used.
	Mode int32

	// Target is an executor as one entry host sees it. It outlives the pools
	// that it is part of. It is safe for concurrent use.
	Target struct {
		host     provider.Host
		share    atomic.Int32
		mode     atomic.Int32
		inFlight atomic.Int32
		waiting  atomic.Int32
		window   *limiter.Window
		latency  atomic.Int64
		answers  atomic.Int64
		failures atomic.Int32
		leaving  atomic.Int64
		place    atomic.Pointer[place]
	}

	// place is the bit of a pool that says whether the target has room.
	place struct {
		word *atomic.Uint64
		mask uint64
	}
)

// Modes of a Target.
const (
	// Open is an executor in full use.
	Open Mode = iota
	// Probing is an executor that gets one attempt at a time.
	Probing
	// Closed is an executor that gets nothing.
	Closed
)

const (
	// Each answer moves a target's latency by 1/8 of the difference.
	targetShift = 3
	// SuspectFailures in a row limit a target to one attempt at a time.
	SuspectFailures = 5
)

// NewTarget gives an executor of which this entry host may use a share of the
// slots.
func NewTarget(h provider.Host, share int) *Target {
	t := &Target{host: h, window: limiter.NewWindow(share)}
	t.share.Store(int32(share))
	return t
}

// Host gives the executor.
func (t *Target) Host() provider.Host { return t.host }

// Share gives the slots that this entry host may use.
func (t *Target) Share() int { return int(t.share.Load()) }

// InFlight gives the attempts in flight.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Mode gives how far the executor is used.
func (t *Target) Mode() Mode { return Mode(t.mode.Load()) }

// Latency gives the moving average of its answers; 0 before the first.
func (t *Target) Latency() clock.Millis { return toMillis(t.latency.Load()) }

// Answers gives the number of answers so far.
func (t *Target) Answers() int64 { return t.answers.Load() }

// Failures gives the number of failed attempts since the last answer.
func (t *Target) Failures() int { return int(t.failures.Load()) }

// SetShare replaces the slots that this entry host may use.
func (t *Target) SetShare(n int) {
	old := int(t.share.Swap(int32(n)))
	if n > old {
		t.window.Reset(n)
	}
	t.refresh()
}

// SetMode sets how far the executor is used.
func (t *Target) SetMode(m Mode) {
	t.mode.Store(int32(m))
	t.refresh()
}

// Release ends an attempt that Acquire began.
func (t *Target) Release() {
	t.inFlight.Add(-1)
	t.refresh()
}

// Answered takes note of an answer, its latency and the load that it reports.
func (t *Target) Answered(d clock.Millis, waiting int) {
	t.failures.Store(0)
	t.answers.Add(1)
	t.waiting.Store(int32(waiting))
	t.window.Observe(waiting, t.Share())
	t.observe(d)
	t.refresh()
}

func (t *Target) observe(d clock.Millis) {
	x := max(int64(d)*latencyUnit, 1)
	old := t.latency.Load()
	if old == 0 {
		t.latency.CompareAndSwap(0, x)
		return
	}
	t.latency.CompareAndSwap(old, max(old+(x-old)>>targetShift, 1))
}

// Failed takes note of an attempt that failed, which weighs as much as n, and
// gives the weight of those that did in a row.
func (t *Target) Failed(n int) int {
	weight := t.failures.Add(int32(n))
	t.refresh()
	return int(weight)
}

// Abandoned takes note of an attempt that was given up after d without an
// answer, which says that the latency is more than that.
func (t *Target) Abandoned(d clock.Millis) {
	if int64(d)*latencyUnit > t.latency.Load() {
		t.observe(d)
	}
}

// Forget drops what is known of the latency and of failures, before a probe.
func (t *Target) Forget() {
	t.latency.Store(0)
	t.failures.Store(0)
	t.waiting.Store(0)
	t.refresh()
}

// SetLeaving takes note that the executor said at a time that it is leaving.
func (t *Target) SetLeaving(now clock.Millis) {
	t.leaving.Store(int64(now))
	t.refresh()
}

// Leaving tells whether the executor said that it is leaving.
func (t *Target) Leaving() bool { return t.leaving.Load() > 0 }

// LeavingSince gives when it said so.
func (t *Target) LeavingSince() clock.Millis { return clock.Millis(t.leaving.Load()) }

// Return takes the executor back after it was leaving.
func (t *Target) Return() {
	t.leaving.Store(0)
	t.refresh()
}

// Drift moves the latency of a target that had no answers for some time
// towards that of its peers, so that it is tried again.
func (t *Target) Drift(peers clock.Millis) {
	old := t.latency.Load()
	t.latency.CompareAndSwap(old, old+(int64(peers)*latencyUnit-old)>>targetShift)
	t.waiting.Store(0)
}

// Acquire begins an attempt if the target has room for it.
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

func (t *Target) limit() int32 {
	switch {
	case t.Leaving(), t.Mode() == Closed:
		return 0
	case t.Mode() == Probing, t.failures.Load() >= SuspectFailures:
		return min(1, t.share.Load())
	}
	return int32(t.window.Limit(t.Share()))
}

func (t *Target) hasRoom() bool { return t.inFlight.Load() < t.limit() }

// refresh sets the target's bit in its pool. The bit is looked at again after
// it is cleared, since a concurrent release may have made room before that.
func (t *Target) refresh() {
	p := t.place.Load()
	if p == nil {
		return
	}
	if !t.hasRoom() {
		p.word.And(^p.mask)
	}
	if t.hasRoom() && p.word.Load()&p.mask == 0 {
		p.word.Or(p.mask)
	}
}

// cost gives how dear one more attempt is: the latency, raised by the attempts
// in flight, by the requests that wait there and by failures.
func (t *Target) cost() int64 {
	slots := int64(max(t.host.Slots, 1))
	load := slots + int64(t.inFlight.Load()) + 2*int64(t.waiting.Load())
	return t.latency.Load() * load / slots * (1 + int64(t.failures.Load()))
}
