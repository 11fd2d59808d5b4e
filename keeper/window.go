package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// window bounds a worker's own clock: the reading was taken at some
	// moment between sent and received by the owner's clock.
	window struct {
		stamp    provider.Stamp
		sent     clock.Millis
		received clock.Millis
	}
)

// known tells whether the worker's clock was ever read.
func (w window) known() bool { return w.stamp.Boot != "" }

// least gives the lowest that the worker's clock can read at a moment.
func (w window) least(at clock.Millis) int64 {
	d := int64(at - w.received)
	if d < 0 {
		return w.stamp.Reading + d + d*provider.RateMarginPermille/1000 - 1
	}
	return w.stamp.Reading + d - d*provider.RateMarginPermille/1000 - 1
}

// lapsed tells whether a lease of the same boot is certain to have ended.
func (w window) lapsed(at clock.Millis, until int64) bool { return w.least(at) >= until }
