package ejector

import "galenawharf.example/galenawharf/clock"

type (
	// Report is what was measured of an executor up to now.
	Report struct {
		address  string
		slots    int
		answers  int64
		failures int
		latency  clock.Millis
	}

	// Change is a new state of an executor.
	Change struct {
		address string
		state   string
		cause   Cause
	}

	// Cause is why an executor was ejected.
	Cause string
)

// Causes of an ejection.
const (
	// CauseFailures means that attempts failed in a row, including those that got no
	// answer.
	CauseFailures Cause = "failures"
	// CauseLatency means that the latency is much higher than that of the peers.
	CauseLatency Cause = "latency"
)

// NewReport returns a report of an executor: the number of slots that may be used, the
// number of answers since the start, the number of failures since the last answer, and the
// moving average of the latency, 0 if unknown.
func NewReport(address string, slots int, answers int64, failures int, latency clock.Millis) Report {
	return Report{address: address, slots: slots, answers: answers, failures: failures, latency: latency}
}

// Address returns the address of the executor.
func (c Change) Address() string { return c.address }

// State returns the new state.
func (c Change) State() string { return c.state }

// Cause returns why the executor was ejected; "" for other changes.
func (c Change) Cause() Cause { return c.cause }
