package clock

import "time"

// System gives the time of the host.
func System() Millis { return FromTime(time.Now()) }
