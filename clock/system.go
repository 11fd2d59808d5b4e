package clock

import "time"

// System returns the time of the host's clock, which may be set forward or back.
func System() Millis { return FromTime(time.Now()) }
