package runner

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

// TestOutageLoggedOnce checks that an outage is logged by one event at its start and one
// at its end, however many calls fail or succeed.
func TestOutageLoggedOnce(t *testing.T) {
	c := clock.NewManual(1000)
	var got []logger.Event
	d := &outageLogger{now: c.Now, emit: func(e logger.Event, _ ...logger.Field) { got = append(got, e) }, failedEvent: logger.StoreLost, recoveredEvent: logger.StoreBack}
	d.succeeded()
	for range 3 {
		d.failed(errors.New("the store does not answer"))
		c.Advance(100)
	}
	d.succeeded()
	d.succeeded()
	must.Eq(t, []logger.Event{logger.StoreLost, logger.StoreBack}, got)
}
