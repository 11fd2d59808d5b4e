package clock

import (
	"golang.org/x/sys/unix"
)

// NewSteady gives a time source that begins at the time of the host and is
// never put back or forward after that; it goes on while the host is suspended.
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
