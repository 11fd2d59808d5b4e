package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// steady is a monotonic clock that also advances while the host is suspended. The
	// operating system counts that time in a clock whose reading is a system call. The
	// monotonic and the system clock are read without one, and drift apart by the time of a
	// suspension, so that the other clock is only read then.
	steady struct {
		// read returns the readings of the monotonic clock and of the system clock, sinceBoot
		// that of the clock that counts suspensions.
		read      func() (monotonic, system time.Duration)
		sinceBoot func() time.Duration
		// start is added to sinceBoot.
		start time.Duration
		base  atomic.Pointer[steadyBase]
	}

	// steadyBase is a set of readings that were taken together.
	steadyBase struct {
		// time is the reading of the steady clock.
		time, monotonic, system time.Duration
	}
)

const (
	// maxDrift is how far the monotonic and the system clock may drift apart before
	// sinceBoot is read: the error of the steady clock after a suspension.
	maxDrift = 2 * time.Millisecond
	// maxBaseAge bounds the time for which a suspension goes unnoticed if the system clock
	// is set back by the same time.
	maxBaseAge = time.Second
)

// NewSteady returns a monotonic time source. It starts at the system time and is not
// affected when the system clock is set afterwards. It also advances while the host is
// suspended.
func NewSteady() func() Millis {
	first := time.Now()
	read := func() (time.Duration, time.Duration) {
		t := time.Now()
		return t.Sub(first), time.Duration(t.UnixNano())
	}
	s := newSteady(read, sinceBoot, time.Duration(first.UnixNano()))
	return s.now
}

func newSteady(read func() (monotonic, system time.Duration), sinceBoot func() time.Duration, start time.Duration) *steady {
	s := &steady{read: read, sinceBoot: sinceBoot, start: start - sinceBoot()}
	s.rebase()
	return s
}

func (s *steady) now() Millis {
	b := s.base.Load()
	monotonic, system := s.read()
	passed := monotonic - b.monotonic
	if drift := system - b.system - passed; drift > maxDrift || drift < -maxDrift || passed > maxBaseAge {
		return FromDuration(s.rebase())
	}
	return FromDuration(b.time + passed)
}

// rebase reads all clocks and returns the time of the steady clock, which never goes back.
func (s *steady) rebase() time.Duration {
	monotonic, system := s.read()
	b := &steadyBase{time: s.start + s.sinceBoot(), monotonic: monotonic, system: system}
	if o := s.base.Load(); o != nil {
		b.time = max(b.time, o.time+monotonic-o.monotonic)
	}
	s.base.Store(b)
	return b.time
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
