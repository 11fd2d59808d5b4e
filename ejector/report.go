package ejector

import "galenawharf.example/galenawharf/clock"

type (
	// Report is how an executor did up to now.
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

	// Cause says why an executor was ejected.
	Cause string
)

// Causes of an ejection.
const (
	// CauseFailures is attempts that failed one after the other, silent ones among them.
	CauseFailures Cause = "failures"
	// CauseLatency is a latency far over that of the peers.
	CauseLatency Cause = "latency"
)

// NewReport gives a report of an executor: the slots of it that may be used, its answers since the start, the failed
// attempts since the last answer, and the moving average of its latency, 0
// where there is none.
func NewReport(address string, slots int, answers int64, failures int, latency clock.Millis) Report {
	return Report{address: address, slots: slots, answers: answers, failures: failures, latency: latency}
}

// Address gives where the executor is reached.
func (c Change) Address() string { return c.address }

// State gives the new state.
func (c Change) State() string { return c.state }

// Cause gives why it was ejected, or "".
func (c Change) Cause() Cause { return c.cause }
