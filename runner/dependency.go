package runner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// dependency logs when something is lost and when it is back. It is used by one
	// goroutine.
	dependency struct {
		now        func() clock.Millis
		emit       func(logger.Event, ...logger.Field)
		lost, back logger.Event
		// since is when it was lost, 0 while it is there.
		since clock.Millis
	}
)

func (d *dependency) failed(err error) {
	if d.since != 0 {
		return
	}
	d.since = d.now()
	d.emit(d.lost, logger.Err(err))
}

func (d *dependency) succeeded() {
	if d.since == 0 {
		return
	}
	d.emit(d.back, logger.Int("away-ms", int64(d.now()-d.since)))
	d.since = 0
}
