package keeper

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// clockBounds bounds a worker's clock: the worker's reading, stamp, was taken between
	// the times sent and received of the owner's clock.
	clockBounds struct {
		stamp    provider.Stamp
		sent     clock.Millis
		received clock.Millis
	}
)

// known reports whether the worker's clock was ever read.
func (w clockBounds) known() bool { return w.stamp.Boot != "" }

// lowerBound returns the lowest possible reading of the worker's clock, in milliseconds,
// at a time of the owner's clock. It assumes the latest time for the stored reading,
// received, and the worst rate of the clock within the margin.
func (w clockBounds) lowerBound(at clock.Millis) int64 {
	d := int64(at - w.received)
	if d < 0 {
		return w.stamp.Reading + d + d*provider.RateMarginPermille/1000 - 1
	}
	return w.stamp.Reading + d - d*provider.RateMarginPermille/1000 - 1
}

// reached reports whether the worker's clock has certainly reached a reading of the same
// boot.
func (w clockBounds) reached(at clock.Millis, until int64) bool { return w.lowerBound(at) >= until }
