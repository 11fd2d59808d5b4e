package runner

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

func TestOutageLoggedOnce(t *testing.T) {
	c := clock.NewManual(1000)
	var got []logger.Event
	d := &outageLogger{now: c.Now, emit: func(e logger.Event, _ ...logger.Field) { got = append(got, e) }, failedEvent: logger.StoreLost, recoveredEvent: logger.StoreBack}
	d.succeeded()
	for range 3 {
		d.failed(errors.New("away"))
		c.Advance(100)
	}
	d.succeeded()
	d.succeeded()
	must.Eq(t, []logger.Event{logger.StoreLost, logger.StoreBack}, got)
}
