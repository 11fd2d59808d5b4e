package quarantiner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// job holds the failures of one job or service.
	job struct {
		// failuresByWorker counts the failures since the last success on each worker.
		failuresByWorker map[string]int
		// failures counts the failures since the last success, except those removed
		// because their worker was quarantined.
		failures int
		// succeededOn lists up to maxSucceededOn workers on which a task of the job
		// succeeded, the most recently added last.
		succeededOn []string
		// retryAt is when the retry delay ends; 0 without one.
		retryAt clock.Millis
		// parked is nil unless the job is parked.
		parked *Parking
		// reason is the message of the last failure.
		reason string
	}

	// Parking describes why a job is parked, which means that it keeps failing and is not
	// retried. It ends when the job is changed, or when enough of its failures are
	// discounted because their worker was quarantined.
	Parking struct {
		at       clock.Millis
		code     coder.Code
		reason   string
		workers  []string
		failures int
	}
)

// maxSucceededOn is the most workers kept in succeededOn.
const maxSucceededOn = 4

func newJob() *job { return &job{failuresByWorker: map[string]int{}} }

// At returns when the job was parked.
func (p Parking) At() clock.Millis { return p.at }

// Code returns the error code of the last failure.
func (p Parking) Code() coder.Code { return p.code }

// Reason returns the message of the last failure.
func (p Parking) Reason() string { return p.reason }

// Workers returns the names of the workers on which the job failed, sorted.
func (p Parking) Workers() []string { return p.workers }

// Failures returns the number of failures since the last success, except those on workers
// that were quarantined since.
func (p Parking) Failures() int { return p.failures }

// succeededElsewhere reports whether the job recently succeeded on a worker other than
// the given one.
func (j *job) succeededElsewhere(worker string) bool {
	for _, w := range j.succeededOn {
		if w != worker {
			return true
		}
	}
	return false
}

// recordSuccess clears the failures and the retry delay, and adds worker to succeededOn.
func (j *job) recordSuccess(worker string) {
	clear(j.failuresByWorker)
	j.failures = 0
	j.retryAt = 0
	for _, w := range j.succeededOn {
		if w == worker {
			return
		}
	}
	j.succeededOn = append(j.succeededOn, worker)
	if len(j.succeededOn) > maxSucceededOn {
		j.succeededOn = j.succeededOn[1:]
	}
}
