// Package quarantiner distinguishes faulty workers from faulty jobs. A worker on which
// several distinct jobs fail is quarantined: it gets no tasks until a backoff has passed. A
// job that fails on several distinct workers is parked: it is not retried. Services are
// handled like jobs.
package quarantiner

import (
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// Quarantiner tracks the failures of workers and jobs. It is not safe for concurrent
	// use.
	Quarantiner struct {
		workers map[string]*worker
		jobs    map[string]*job
		// threshold is set by WithThreshold.
		threshold int
		// probesNeeded is the number of tasks that must succeed on a Probing worker.
		probesNeeded int
		// fastFailWindow is how long after its start a running task keeps a suspect worker
		// from getting another; a task that runs longer has not failed fast.
		fastFailWindow clock.Millis
		firstBackoff   clock.Millis
		maxBackoff     clock.Millis
	}

	// Option configures a Quarantiner.
	Option func(*Quarantiner)
)

const (
	defaultThreshold      = 3
	defaultProbesNeeded   = 2
	defaultFastFailWindow = clock.Minute
	defaultFirstBackoff   = 30 * clock.Second
	defaultMaxBackoff     = clock.Hour

	// maxFailures is the number of failures after which a job is parked, on however few
	// workers they occurred.
	maxFailures     = 8
	firstRetryDelay = clock.Second
	maxRetryDelay   = clock.Minute
	// maxDoublings keeps the exponential backoff from overflowing.
	maxDoublings = 16
)

// New returns a Quarantiner without recorded failures. It returns an error if the options
// are inconsistent.
func New(opts ...Option) (*Quarantiner, error) {
	q := &Quarantiner{
		workers: map[string]*worker{}, jobs: map[string]*job{},
		threshold: defaultThreshold, probesNeeded: defaultProbesNeeded, fastFailWindow: defaultFastFailWindow, firstBackoff: defaultFirstBackoff, maxBackoff: defaultMaxBackoff,
	}
	for _, o := range opts {
		o(q)
	}
	if q.threshold < 2 || q.probesNeeded < 1 || q.firstBackoff < 1 || q.maxBackoff < q.firstBackoff {
		return nil, errors.New("quarantiner.New: the threshold must be at least 2, the probes at least 1, the first backoff at least 1 ms and the longest not less")
	}
	return q, nil
}

// WithThreshold sets how many failures must be attributed to a worker to quarantine it
// (see attributedFailures), and on how many distinct workers a job must fail to park it.
// It must be at least 2.
func WithThreshold(n int) Option { return func(q *Quarantiner) { q.threshold = n } }

// WithBackoff sets the first and the longest time before a quarantined worker is probed.
// The time doubles with each quarantine.
func WithBackoff(first, longest clock.Millis) Option {
	return func(q *Quarantiner) {
		q.firstBackoff = first
		q.maxBackoff = longest
	}
}

// Admits reports whether a worker may get a task. probe is set if the task may run on a
// quarantined worker as a probe.
func (q *Quarantiner) Admits(now clock.Millis, name string, probe bool) bool {
	w := q.workers[name]
	if w == nil {
		return true
	}
	switch w.state() {
	case Healthy:
		return true
	case Suspect:
		return w.startedSince(now-q.fastFailWindow) == 0
	case Quarantined:
		return probe && now >= w.probeAt && len(w.pending) == 0
	}
	return probe && len(w.pending) == 0
}

// Avoids reports whether a job has failed on a worker since the job's last success.
func (q *Quarantiner) Avoids(jobName, workerName string) bool {
	j := q.jobs[jobName]
	return j != nil && j.failuresByWorker[workerName] > 0
}

// RetryAllowed reports whether a job may be tried: it is not parked, and its retry delay has
// passed.
func (q *Quarantiner) RetryAllowed(now clock.Millis, jobName string) bool {
	j := q.jobs[jobName]
	return j == nil || j.parked == nil && now >= j.retryAt
}

// BackoffElapsed reports whether the retry delay of a job has passed. It ignores parking, for
// services and watch jobs, which are always retried.
func (q *Quarantiner) BackoffElapsed(now clock.Millis, jobName string) bool {
	j := q.jobs[jobName]
	return j == nil || now >= j.retryAt
}

// Parked returns why a job is parked, and false if it is not.
func (q *Quarantiner) Parked(jobName string) (Parking, bool) {
	j := q.jobs[jobName]
	if j == nil || j.parked == nil {
		return Parking{}, false
	}
	return *j.parked, true
}

// AllParked returns the names of the parked jobs, sorted.
func (q *Quarantiner) AllParked() []string {
	var out []string
	for name, j := range q.jobs {
		if j.parked != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Unpark deletes the record of a job, so that the job is tried again after a change.
func (q *Quarantiner) Unpark(jobName string) { delete(q.jobs, jobName) }

// State returns the state of a worker, Healthy for one without failures.
func (q *Quarantiner) State(name string) string {
	if w := q.workers[name]; w != nil {
		return w.state()
	}
	return Healthy
}

// Forget deletes the record of a worker that was replaced or restarted.
func (q *Quarantiner) Forget(name string) { delete(q.workers, name) }

// Started records that a task started on a worker. It moves a quarantined worker to
// Probing.
func (q *Quarantiner) Started(now clock.Millis, name, task string) {
	w := q.worker(name)
	w.fire(eventProbe)
	w.pending[task] = now
}

// Interrupted records that a task ended without success or failure, such as by eviction,
// cancellation or lease expiry.
func (q *Quarantiner) Interrupted(name, task string) { delete(q.worker(name).pending, task) }

// Succeeded records that a task of a job succeeded on a worker. It clears the failures of
// the job and of the worker.
func (q *Quarantiner) Succeeded(name, task, jobName string) {
	w := q.worker(name)
	delete(w.pending, task)
	clear(w.failuresByJob)
	q.job(jobName).recordSuccess(name)
	switch w.state() {
	case Suspect:
		w.fire(eventClear)
	case Probing:
		w.probeSuccesses++
		if w.probeSuccesses >= q.probesNeeded {
			w.fire(eventRestore)
			w.quarantines = 0
		}
	}
}

// Failed records that a task of a job failed on a worker, with the error code and
// message.
func (q *Quarantiner) Failed(now clock.Millis, name, task, jobName string, c coder.Code, reason string) {
	w, j := q.worker(name), q.job(jobName)
	delete(w.pending, task)
	w.failuresByJob[jobName]++
	j.failuresByWorker[name]++
	j.failures++
	j.reason = reason
	j.retryAt = now.Add(backoff(firstRetryDelay, maxRetryDelay, j.failures-1))
	if w.state() == Probing {
		q.quarantine(now, name, w)
	} else {
		w.fire(eventFail)
		if q.attributedFailures(name, w) >= q.threshold {
			q.quarantine(now, name, w)
		}
	}
	q.parkIfFailing(now, j, c)
}

func (q *Quarantiner) worker(name string) *worker {
	w := q.workers[name]
	if w == nil {
		w = newWorker()
		q.workers[name] = w
	}
	return w
}

func (q *Quarantiner) job(name string) *job {
	j := q.jobs[name]
	if j == nil {
		j = newJob()
		q.jobs[name] = j
	}
	return j
}

// attributedFailures counts the failures attributed to a worker. Failures of a job that is
// parked, or that failed on threshold-1 other workers, are attributed to the job and do not
// count. Of a job that recently succeeded on another worker every failure counts, of any
// other job one.
func (q *Quarantiner) attributedFailures(name string, w *worker) int {
	n := 0
	for jobName, times := range w.failuresByJob {
		j := q.job(jobName)
		switch {
		case j.parked != nil || q.countFailedWorkers(j, name) >= q.threshold-1:
		case j.succeededElsewhere(name):
			n += times
		default:
			n++
		}
	}
	return n
}

// countFailedWorkers counts the workers on which a job failed, other than except. Workers
// that are Quarantined or Probing do not count, because the fault may be theirs.
func (q *Quarantiner) countFailedWorkers(j *job, except string) int {
	n := 0
	for name := range j.failuresByWorker {
		s := q.State(name)
		if name != except && s != Quarantined && s != Probing {
			n++
		}
	}
	return n
}

func (q *Quarantiner) quarantine(now clock.Millis, name string, w *worker) {
	if !w.fire(eventQuarantine) {
		return
	}
	w.probeSuccesses = 0
	w.probeAt = now.Add(backoff(q.firstBackoff, q.maxBackoff, w.quarantines))
	w.quarantines++
	for jobName := range w.failuresByJob {
		q.removeFailures(q.job(jobName), name)
	}
}

// removeFailures removes the failures on a quarantined worker from a job, and unparks the
// job if it would not be parked for the remaining failures.
func (q *Quarantiner) removeFailures(j *job, name string) {
	j.failures -= min(j.failuresByWorker[name], j.failures)
	delete(j.failuresByWorker, name)
	if j.failures == 0 {
		j.retryAt = 0
	}
	if j.parked != nil && !q.shouldPark(j) {
		j.parked = nil
	}
}

// parkIfFailing parks a job if shouldPark reports so.
func (q *Quarantiner) parkIfFailing(now clock.Millis, j *job, c coder.Code) {
	if j.parked != nil || !q.shouldPark(j) {
		return
	}
	var names []string
	for name := range j.failuresByWorker {
		names = append(names, name)
	}
	slices.Sort(names)
	j.parked = &Parking{at: now, code: c, reason: j.reason, workers: names, failures: j.failures}
}

// shouldPark reports whether a job failed on at least threshold workers or at least
// maxFailures times.
func (q *Quarantiner) shouldPark(j *job) bool {
	return q.countFailedWorkers(j, "") >= q.threshold || j.failures >= maxFailures
}

func backoff(first, longest clock.Millis, doublings int) clock.Millis {
	return min(first<<min(doublings, maxDoublings), longest)
}
