package conductor

import (
	"fmt"

	"galenawharf.example/galenawharf/clock"
)

type (
	// OverloadCause is why a leader does not accept a job.
	OverloadCause string

	// OverloadError is returned for a job that was not accepted and will not run, because this
	// daemon could not store it or start its tasks in time.
	OverloadError struct {
		retryAfter clock.Millis
		cause      OverloadCause
		// wait is how long the job would wait, and patience how long it may.
		wait, patience clock.Millis
	}
)

const (
	// SlowAppends means that the job could not be stored while its caller waits.
	SlowAppends OverloadCause = "slow-appends"
	// SlowStarts means that its tasks could not be started in time.
	SlowStarts OverloadCause = "slow-starts"
)

// RetryAfter returns the time after which the job could be stored and its tasks started in time.
func (e OverloadError) RetryAfter() clock.Millis { return e.retryAfter }

// Error returns the reason of the refusal.
func (e OverloadError) Error() string {
	return fmt.Sprintf("more work is waiting than this leader can do in time: %s, wait-ms %d of %d", e.cause, e.wait, e.patience)
}
