package runner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// outageLogger logs the outages of a dependency such as the store: one event when
	// calls begin to fail and one when they succeed again. It must be used by one
	// goroutine.
	outageLogger struct {
		now                         func() clock.Millis
		emit                        func(logger.Event, ...logger.Field)
		failedEvent, recoveredEvent logger.Event
		// failingSince is when calls began to fail, 0 while they succeed.
		failingSince clock.Millis
	}
)

// failed records a failed call.
func (d *outageLogger) failed(err error) {
	if d.failingSince != 0 {
		return
	}
	d.failingSince = d.now()
	d.emit(d.failedEvent, logger.Err(err))
}

// succeeded records a successful call.
func (d *outageLogger) succeeded() {
	if d.failingSince == 0 {
		return
	}
	d.emit(d.recoveredEvent, logger.Int("away-ms", int64(d.now()-d.failingSince)))
	d.failingSince = 0
}
