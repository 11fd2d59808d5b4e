package conductor

import "galenawharf.example/galenawharf/clock"

type (
	// Metrics are called with what a term does. They must not block.
	Metrics struct {
		// Order is called for each order, Look for each look, Append for each append
		// that succeeded, with how long it took.
		Order  func(took clock.Millis, answered bool)
		Poll   func(took clock.Millis)
		Append func(took clock.Millis)
		// Totals is called several times a second.
		Totals func(queued, active, silent int)
	}
)

// WithMetrics sets what is called.
func WithMetrics(m Metrics) Option { return func(c *Conductor) { c.measures = m } }

func noMeasures() Metrics {
	return Metrics{
		Order: func(clock.Millis, bool) {}, Poll: func(clock.Millis) {}, Append: func(clock.Millis) {}, Totals: func(int, int, int) {},
	}
}
