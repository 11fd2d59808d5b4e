// Package quarantiner tells a worker that fails all it starts from a job that
// can never run, by the record of each over distinct partners.
package quarantiner

import (
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// Quarantiner keeps the records of workers and jobs. It is used by one
	// goroutine.
	Quarantiner struct {
		workers map[string]*worker
		jobs    map[string]*job
		strikes int
		probes  int
		proof   clock.Millis
		first   clock.Millis
		longest clock.Millis
	}

	// Option sets up a Quarantiner.
	Option func(*Quarantiner)
)

const (
	defaultStrikes = 3
	defaultProbes  = 2
	defaultProof   = clock.Minute
	defaultFirst   = 30 * clock.Second
	defaultLongest = clock.Hour

	maxAttempts  = 8
	firstRetry   = clock.Second
	longestRetry = clock.Minute
	maxDoublings = 16
)

// New gives a Quarantiner that holds nothing against anyone.
func New(opts ...Option) (*Quarantiner, error) {
	q := &Quarantiner{
		workers: map[string]*worker{}, jobs: map[string]*job{},
		strikes: defaultStrikes, probes: defaultProbes, proof: defaultProof, first: defaultFirst, longest: defaultLongest,
	}
	for _, o := range opts {
		o(q)
	}
	if q.strikes < 2 || q.probes < 1 || q.first < 1 || q.longest < q.first {
		return nil, errors.New("quarantiner.New: strikes from 2, probes from 1, and a backoff of at least 1 ms")
	}
	return q, nil
}

// WithStrikes sets after how many distinct partners a worker is quarantined or
// a job is parked.
func WithStrikes(n int) Option { return func(q *Quarantiner) { q.strikes = n } }

// WithBackoff sets the first and the longest wait before a probe.
func WithBackoff(first, longest clock.Millis) Option {
	return func(q *Quarantiner) {
		q.first = first
		q.longest = longest
	}
}

// Admits tells whether a worker may be given a task. probe tells whether the
// task may be used to try a worker out.
func (q *Quarantiner) Admits(now clock.Millis, name string, probe bool) bool {
	w := q.workers[name]
	if w == nil {
		return true
	}
	switch w.state() {
	case Healthy:
		return true
	case Suspect:
		return w.unproven(now-q.proof) == 0
	case Quarantined:
		return probe && now >= w.probeAt && len(w.pending) == 0
	}
	return probe && len(w.pending) == 0
}

// Avoids tells whether a job failed on a worker and did not succeed since.
func (q *Quarantiner) Avoids(jobName, workerName string) bool {
	j := q.jobs[jobName]
	return j != nil && j.failed[workerName] > 0
}

// Ready tells whether a job may be tried now: it is not parked, and the wait
// after its last failure is over.
func (q *Quarantiner) Ready(now clock.Millis, jobName string) bool {
	j := q.jobs[jobName]
	return j == nil || j.parked == nil && now >= j.retryAt
}

// Rested tells whether the wait after a job's last failure is over, parked or
// not. Standing work is tried again for ever.
func (q *Quarantiner) Rested(now clock.Millis, jobName string) bool {
	j := q.jobs[jobName]
	return j == nil || now >= j.retryAt
}

// Parked gives why a job is parked.
func (q *Quarantiner) Parked(jobName string) (Parking, bool) {
	j := q.jobs[jobName]
	if j == nil || j.parked == nil {
		return Parking{}, false
	}
	return *j.parked, true
}

// AllParked gives the names of the jobs that are parked, in order.
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

// Unpark lets a job be tried again, after it was changed.
func (q *Quarantiner) Unpark(jobName string) { delete(q.jobs, jobName) }

// State gives the state of a worker.
func (q *Quarantiner) State(name string) string {
	if w := q.workers[name]; w != nil {
		return w.state()
	}
	return Healthy
}

// Forget drops the record of a worker that was replaced or restarted.
func (q *Quarantiner) Forget(name string) { delete(q.workers, name) }

// Started records that a task began on a worker.
func (q *Quarantiner) Started(now clock.Millis, name, task string) {
	w := q.worker(name)
	w.fire(eventProbe)
	w.pending[task] = now
}

// Left records that a task left a worker without a verdict, such as by
// eviction, cancellation or a lapsed lease.
func (q *Quarantiner) Left(name, task string) { delete(q.worker(name).pending, task) }

// Succeeded records that a task of a job ended well on a worker.
func (q *Quarantiner) Succeeded(name, task, jobName string) {
	w := q.worker(name)
	delete(w.pending, task)
	clear(w.failed)
	q.job(jobName).succeeded(name)
	switch w.state() {
	case Suspect:
		w.fire(eventClear)
	case Probing:
		w.proved++
		if w.proved >= q.probes {
			w.fire(eventRestore)
			w.quarantines = 0
		}
	}
}

// Failed records that a task of a job failed on a worker by itself.
func (q *Quarantiner) Failed(now clock.Millis, name, task, jobName string, c coder.Code, reason string) {
	w, j := q.worker(name), q.job(jobName)
	delete(w.pending, task)
	w.failed[jobName]++
	j.failed[name]++
	j.attempts++
	j.reason = reason
	j.retryAt = now.Add(backoff(firstRetry, longestRetry, j.attempts-1))
	if w.state() == Probing {
		q.quarantine(now, name, w)
	} else {
		w.fire(eventFail)
		if q.against(name, w) >= q.strikes {
			q.quarantine(now, name, w)
		}
	}
	q.judge(now, j, c)
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

// against counts the strikes against a worker: each job that fails here but
// not on enough others to be at fault itself. A job that is known to run
// elsewhere counts each time.
func (q *Quarantiner) against(name string, w *worker) int {
	n := 0
	for jobName, times := range w.failed {
		j := q.job(jobName)
		switch {
		case j.parked != nil || q.partners(j, name) >= q.strikes-1:
		case j.goodElsewhere(name):
			n += times
		default:
			n++
		}
	}
	return n
}

// partners counts the workers, but for one, that a job failed on and that are
// not at fault themselves.
func (q *Quarantiner) partners(j *job, but string) int {
	n := 0
	for name := range j.failed {
		s := q.State(name)
		if name != but && s != Quarantined && s != Probing {
			n++
		}
	}
	return n
}

func (q *Quarantiner) quarantine(now clock.Millis, name string, w *worker) {
	if !w.fire(eventQuarantine) {
		return
	}
	w.proved = 0
	w.probeAt = now.Add(backoff(q.first, q.longest, w.quarantines))
	w.quarantines++
	for jobName := range w.failed {
		q.pardon(q.job(jobName), name)
	}
}

// pardon takes a quarantined worker's failures off a job's record.
func (q *Quarantiner) pardon(j *job, name string) {
	j.attempts -= min(j.failed[name], j.attempts)
	delete(j.failed, name)
	if j.attempts == 0 {
		j.retryAt = 0
	}
	if j.parked != nil && !q.hopeless(j) {
		j.parked = nil
	}
}

// judge parks a job that failed on enough workers, or too often.
func (q *Quarantiner) judge(now clock.Millis, j *job, c coder.Code) {
	if j.parked != nil || !q.hopeless(j) {
		return
	}
	var names []string
	for name := range j.failed {
		names = append(names, name)
	}
	slices.Sort(names)
	j.parked = &Parking{at: now, code: c, reason: j.reason, workers: names, attempts: j.attempts}
}

func (q *Quarantiner) hopeless(j *job) bool {
	return q.partners(j, "") >= q.strikes || j.attempts >= maxAttempts
}

func backoff(first, longest clock.Millis, doublings int) clock.Millis {
	return min(first<<min(doublings, maxDoublings), longest)
}
