package clock

import "time"

// System returns the current time of the system clock, which may be set forward or back.
func System() Millis { return FromTime(time.Now()) }
