package conductor

import "galenawharf.example/galenawharf/clock"

type (
	// Metrics are callbacks for a term's measurements. They must not block.
	Metrics struct {
		// Order, Poll and Append are called with the duration of each order, each poll of
		// a worker and each append to the store; answered is whether the worker answered.
		Order  func(took clock.Millis, answered bool)
		Poll   func(took clock.Millis)
		Append func(took clock.Millis)
		// Totals is called several times a second with the number of jobs that have not
		// started, of jobs that have not ended, of workers that do not answer, and of
		// long-running tasks without a run.
		Totals func(queued, active, silent, waiting int)
		// Delay is called several times a second with how late the scheduler's goroutine
		// got its turn.
		Delay func(clock.Millis)
	}
)

// WithMetrics sets the callbacks for measurements.
func WithMetrics(m Metrics) Option { return func(c *Conductor) { c.metrics = m } }

func noMetrics() Metrics {
	return Metrics{
		Order: func(clock.Millis, bool) {}, Poll: func(clock.Millis) {}, Append: func(clock.Millis) {}, Totals: func(int, int, int, int) {},
		Delay: func(clock.Millis) {},
	}
}
