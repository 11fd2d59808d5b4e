package clock

import (
	"golang.org/x/sys/unix"
)

// NewSteady returns a monotonic time source. It starts at the system time and is not
// affected when the system clock is set afterwards. It also advances while the host is
// suspended.
func NewSteady() func() Millis {
	offset := System() - sinceBoot()
	return func() Millis { return offset + sinceBoot() }
}

func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return System()
	}
	return Millis(t.Nano() / nanosPerMilli)
}

const nanosPerMilli = 1_000_000
