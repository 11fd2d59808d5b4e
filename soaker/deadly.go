package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

const (
	// deadlyJobs is the number of jobs with a task that crashes the workers which start it.
	deadlyJobs = 2
	// deadlyPrefix begins the names of their jobs.
	deadlyPrefix = "dead0000"
	// deadlyDown is how long a crashed worker is down.
	deadlyDown = 2 * clock.Second
	// deadlyStream is a stream of random numbers of its own.
	deadlyStream = 0xdead
	// maxDeadlySubmissions bounds the submissions of one job.
	maxDeadlySubmissions = 60
)

func deadlyID(i int) string { return fmt.Sprintf("%s%08x", deadlyPrefix, i) }

// isDeadly reports whether a task crashes the workers that start it.
func isDeadly(n scheduler.TaskName) bool {
	return strings.HasPrefix(n.Job, deadlyPrefix) && n.Index == 0
}

// crash restarts a worker that a task has crashed.
func (k *Soak) crash(id string) {
	for _, w := range k.workers {
		if w.id == id {
			k.restartWorker(w, deadlyDown)
		}
	}
}

// submitDeadly submits the jobs with deadly tasks at random times in the first half of the faults, until
// they are accepted. It returns those that were.
func (k *Soak) submitDeadly() (accepted []string) {
	r := rand.New(rand.NewPCG(k.settings.Seed, deadlyStream))
	body, err := json.Marshal(map[string]any{"spec": "deadly", "phases": []map[string]any{{"count": 2, "cpu": 1000}}})
	if err != nil {
		return nil
	}
	for i := range deadlyJobs {
		time.Sleep(clock.Millis(r.Int64N(int64(k.settings.FaultDuration)/(2*deadlyJobs) + 1)).Duration())
		for range maxDeadlySubmissions {
			if k.callers.call(http.MethodPost, deadlyID(i), body, nil) == http.StatusOK {
				accepted = append(accepted, deadlyID(i))
				break
			}
			time.Sleep(retryDelay.Duration())
		}
	}
	return accepted
}

// unfailed waits until the given jobs are shown as failed, and returns a message for each that is not in
// time.
func (k *Soak) unfailed(ids []string) (violations []string) {
	deadline := time.Now().Add(k.settings.SettleTimeout.Duration())
	for _, id := range ids {
		for {
			var a struct {
				State string `json:"state"`
			}
			status := k.callers.call(http.MethodGet, id, nil, &a)
			if a.State == string(scheduler.Failed) {
				break
			}
			if time.Now().After(deadline) {
				violations = append(violations, fmt.Sprintf("%s crashes its workers and has not failed; the last answer was %d %s", id, status, a.State))
				break
			}
			time.Sleep(pollInterval.Duration())
		}
	}
	return violations
}
