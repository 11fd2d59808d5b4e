package quarantiner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// job is the record of one job or service.
	job struct {
		// failed counts, by worker, the failures since the last success.
		failed map[string]int
		// attempts counts all failures since the last success.
		attempts int
		// good has the workers on which a task of the job last succeeded.
		good    []string
		retryAt clock.Millis
		parked  *Parking
		reason  string
	}

	// Parking is why a job is not tried again until it is changed.
	Parking struct {
		at       clock.Millis
		code     coder.Code
		reason   string
		workers  []string
		attempts int
	}
)

const goodKept = 4

func newJob() *job { return &job{failed: map[string]int{}} }

// At gives when the job was parked.
func (p Parking) At() clock.Millis { return p.at }

// Code gives the code of the last failure.
func (p Parking) Code() coder.Code { return p.code }

// Reason gives the last failure in words.
func (p Parking) Reason() string { return p.reason }

// Workers gives the workers on which the job failed, by name.
func (p Parking) Workers() []string { return p.workers }

// Attempts gives how often it failed since its last success.
func (p Parking) Attempts() int { return p.attempts }

// goodElsewhere tells whether the job lately succeeded on another worker.
func (j *job) goodElsewhere(than string) bool {
	for _, w := range j.good {
		if w != than {
			return true
		}
	}
	return false
}

func (j *job) succeeded(on string) {
	clear(j.failed)
	j.attempts = 0
	j.retryAt = 0
	for _, w := range j.good {
		if w == on {
			return
		}
	}
	j.good = append(j.good, on)
	if len(j.good) > goodKept {
		j.good = j.good[1:]
	}
}
