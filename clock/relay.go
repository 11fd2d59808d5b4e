package clock

type (
	// Relay is a clock that several hosts continue one after the other, each from a reading
	// of the one before. Two readings, also of different hosts, never differ by more than the
	// time that has passed between them. It is safe for concurrent use.
	Relay struct {
		now func() Millis
		// ahead is the reading less the host's own time.
		ahead Millis
	}
)

// NewRelay returns a clock that showed reading when the host's own clock now showed at. The
// reading must have been taken by then.
func NewRelay(now func() Millis, reading, at Millis) *Relay {
	return &Relay{now: now, ahead: reading - at}
}

// Now returns the reading.
func (r *Relay) Now() Millis { return r.At(r.now()) }

// At returns the reading at a time on the host's own clock.
func (r *Relay) At(t Millis) Millis { return t + r.ahead }

// Local returns the time on the host's own clock at which the reading is reached.
func (r *Relay) Local(reading Millis) Millis { return reading - r.ahead }
