package regulator

import "galenawharf.example/galenawharf/clock"

// Admission is the decision about a job.
type Admission struct{ wait, retryAfter clock.Millis }

// Admitted reports whether the job may be accepted.
func (a Admission) Admitted() bool { return a.retryAfter == 0 }

// Wait returns how long the last task of the job is expected to wait, 0 while starts are not limited.
func (a Admission) Wait() clock.Millis { return a.wait }

// RetryAfter returns the time after which a job that is not admitted would be.
func (a Admission) RetryAfter() clock.Millis { return a.retryAfter }
