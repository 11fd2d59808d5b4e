package runner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// dependency logs when a dependency such as the store fails and when it recovers,
	// once each. It must be used by one goroutine.
	dependency struct {
		now        func() clock.Millis
		emit       func(logger.Event, ...logger.Field)
		lost, back logger.Event
		// lostSince is when it began to fail, 0 while it works.
		lostSince clock.Millis
	}
)

// failed records a failed call.
func (d *dependency) failed(err error) {
	if d.lostSince != 0 {
		return
	}
	d.lostSince = d.now()
	d.emit(d.lost, logger.Err(err))
}

// succeeded records a successful call.
func (d *dependency) succeeded() {
	if d.lostSince == 0 {
		return
	}
	d.emit(d.back, logger.Int("away-ms", int64(d.now()-d.lostSince)))
	d.lostSince = 0
}
