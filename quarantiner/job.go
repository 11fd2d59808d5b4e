package quarantiner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// job is the record of one job or service.
	job struct {
		// failed counts the failures since the last success, by worker.
		failed map[string]int
		// attempts counts the failures since the last success, except those removed
		// because their worker was quarantined.
		attempts int
		// succeededOn lists up to maxSucceededOn workers on which a task of the job
		// succeeded, the most recently added last.
		succeededOn []string
		retryAt     clock.Millis
		parked      *Parking
		reason      string
	}

	// Parking describes why a job is parked: it keeps failing and is not retried until it
	// is changed.
	Parking struct {
		at       clock.Millis
		code     coder.Code
		reason   string
		workers  []string
		attempts int
	}
)

const maxSucceededOn = 4

func newJob() *job { return &job{failed: map[string]int{}} }

// At returns when the job was parked.
func (p Parking) At() clock.Millis { return p.at }

// Code returns the error code of the last failure.
func (p Parking) Code() coder.Code { return p.code }

// Reason returns the message of the last failure.
func (p Parking) Reason() string { return p.reason }

// Workers returns the names of the workers on which the job failed, sorted.
func (p Parking) Workers() []string { return p.workers }

// Attempts returns the number of failures since the last success.
func (p Parking) Attempts() int { return p.attempts }

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

func (j *job) succeeded(worker string) {
	clear(j.failed)
	j.attempts = 0
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
