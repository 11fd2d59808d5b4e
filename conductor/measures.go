package conductor

import "galenawharf.example/galenawharf/clock"

type (
	// Measures are called with what a term does. They must not block.
	Measures struct {
		// Order is called for each order, Look for each look, Append for each append
		// that succeeded, with how long it took.
		Order  func(took clock.Millis, answered bool)
		Look   func(took clock.Millis)
		Append func(took clock.Millis)
		// Load is called several times a second.
		Load func(queued, active, silent int)
	}
)

// WithMeasures sets what is called.
func WithMeasures(m Measures) Option { return func(c *Conductor) { c.measures = m } }

func noMeasures() Measures {
	return Measures{
		Order: func(clock.Millis, bool) {}, Look: func(clock.Millis) {}, Append: func(clock.Millis) {}, Load: func(int, int, int) {},
	}
}
