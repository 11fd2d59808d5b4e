package scheduler

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// jobRecord is the stored form of a job.
	jobRecord struct {
		// Version is that of the job when the record was encoded. It is 0 in records of
		// earlier programs.
		Version int64 `json:"version,omitempty"`
		Spec    Spec  `json:"spec"`
		Phase   Phase `json:"phase"`
		// AcceptedAt and EndedAt are in Unix milliseconds.
		AcceptedAt int64 `json:"accepted-at"`
		EndedAt    int64 `json:"ended-at,omitempty"`
		// AcceptedReading is AcceptedAt on the clock that leaders hand on.
		AcceptedReading clock.Millis `json:"accepted-reading,omitempty"`
		// EndedReading is EndedAt on that clock.
		EndedReading clock.Millis `json:"ended-reading,omitempty"`
		// Unsubmitted is whether the job was cancelled and no submission of it is known.
		Unsubmitted bool `json:"unsubmitted,omitempty"`
		// Done lists the numbers of the occurrences that are done.
		Done  []int        `json:"done,omitempty"`
		Tasks []taskRecord `json:"tasks,omitempty"`
		// Stale are the runs that workers may have although they are not the newest of their tasks.
		Stale []taskRecord `json:"stale,omitempty"`
	}

	// taskRecord is the stored form of a task that has had a run.
	taskRecord struct {
		Occurrence int    `json:"o,omitempty"`
		Step       int    `json:"s,omitempty"`
		Index      int    `json:"i,omitempty"`
		Done       bool   `json:"d,omitempty"`
		Attempt    int    `json:"a,omitempty"`
		Failures   int    `json:"f,omitempty"`
		Worker     string `json:"w,omitempty"`
		Born       int64  `json:"b,omitempty"`
		Checkpoint string `json:"c,omitempty"`
		Crashes    int    `json:"x,omitempty"`
		Suspicion  int    `json:"y,omitempty"`
		// Address is that of the worker, if workers have crashed with the task: the next
		// leader can then ask there although the worker has left the registry.
		Address string `json:"at,omitempty"`
		// RunEnded is the time from the job's AcceptedReading, which may be 0, to runEndedAt, in
		// milliseconds.
		RunEnded int64 `json:"e,omitempty"`
	}
)

const (
	jobPrefix = "job/"
)

func jobKey(id string) string { return jobPrefix + id }

// isDone reports whether occurrence k is done.
func (j *job) isDone(k int) bool { return j.doneOccurrences[k] }

func (j *job) markDone(k int) {
	if j.doneOccurrences == nil {
		j.doneOccurrences = map[int]bool{}
	}
	j.doneOccurrences[k] = true
}

// encode returns the stored form of a whole job. The record of an ended job omits its text, which callers
// can no longer ask for, and its steps and tasks, unless the next leader has to count and stop their runs.
func encode(j *job) []byte {
	r := jobRecord{Version: j.version, Spec: j.spec, Phase: j.phase, AcceptedAt: int64(j.acceptedAt), EndedAt: int64(j.endedAt), AcceptedReading: j.acceptedReading, EndedReading: j.endedReading, Unsubmitted: j.unsubmitted}
	for k := range j.occurrenceCount() {
		if j.doneOccurrences[k] {
			r.Done = append(r.Done, k)
		}
	}
	ended := j.phase.final()
	if ended {
		r.Spec.Text, r.Done = "", nil
	}
	if ended && !j.keepsRuns() {
		r.Spec.Steps = nil
		return marshal(r)
	}
	for _, o := range j.stale {
		r.Stale = append(r.Stale, o.record())
	}
	j.eachTask(func(t *task) {
		if t.attempt > 0 && (!ended || t.hasRun()) {
			r.Tasks = append(r.Tasks, t.record())
		}
	})
	return marshal(r)
}

// record returns the stored form of a task.
func (t *task) record() taskRecord {
	r := taskRecord{Occurrence: t.occurrence.number, Step: t.step, Index: t.index, Done: t.state == done, Attempt: t.attempt, Failures: t.failures, Crashes: t.crashes, Suspicion: t.suspicion}
	if t.hasRun() {
		r.Worker, r.Born = t.worker.info.ID, t.worker.info.Born
		if t.crashes > 0 || t.suspicion > 0 {
			r.Address = t.worker.info.Address
		}
	}
	if t.runEndedAt != 0 {
		r.RunEnded = int64(max(t.runEndedAt-t.job().acceptedReading, 1))
	}
	if t.state != done {
		r.Checkpoint = t.checkpoint
	}
	return r
}

func marshal(r any) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// All fields are plain values, so this is a programming error.
		panic(errors.Wrap(err, "scheduler.marshal"))
	}
	return b
}

// Load restores a record that a former leader stored. Call it for every record before the
// first report, in the order of their keys. leaseEnd is when the leases that the former leader granted have expired;
// until then runs that it started may be active.
func (s *Scheduler) Load(key string, value []byte, leaseEnd clock.Millis) error {
	switch {
	case len(value) == 0:
		return nil
	case key == modelKey:
		return s.loadModels(value)
	case strings.HasPrefix(key, chunkPrefix):
		return s.loadChunk(key, value)
	case strings.HasPrefix(key, silencePrefix):
		return s.loadSilence(key, value)
	case !strings.HasPrefix(key, jobPrefix):
		return nil
	}
	var r jobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrapf(err, "scheduler.Load: record %q", key)
	}
	j := &job{spec: r.Spec, phase: r.Phase, storedPhase: r.Phase, acceptedAt: clock.Millis(r.AcceptedAt), endedAt: clock.Millis(r.EndedAt), acceptedReading: r.AcceptedReading, occurrences: map[int]*occurrence{}}
	j.sent, j.loaded, j.unsubmitted = true, true, r.Unsubmitted
	if j.unsubmitted {
		s.earlyCancels++
	}
	if j.phase.final() {
		j.endedReading = s.plausibleReading(r.EndedReading)
	}
	s.noteClockDifference(j)
	s.mergeChunks(j, &r)
	s.jobs[r.Spec.ID] = j
	if err := r.Spec.Validate(); err != nil && !j.phase.final() {
		// It stays known to its caller, but is not run: each leader would fail on it.
		return errors.Wrapf(err, "scheduler.Load: record %q", key)
	}
	s.recordWork(j)
	for _, k := range r.Done {
		j.markDone(k)
		j.doneCount++
	}
	s.giveUp(s.loadRuns(j, &r, leaseEnd))
	return nil
}

// loadRuns restores the tasks of a job, and of an ended job of a tenant those that have a run. It returns
// the tasks to be given up, as loadTask does.
func (s *Scheduler) loadRuns(j *job, r *jobRecord, leaseEnd clock.Millis) (convicted []*task) {
	ended := j.phase.final()
	switch {
	case !ended:
		s.active[j] = struct{}{}
		s.openDueOccurrences(j)
	case j.spec.Tenant == "":
		return nil
	}
	for _, tr := range r.Tasks {
		if !ended || tr.Worker != "" && len(j.spec.Steps) > 0 {
			convicted = append(convicted, s.loadTask(j, tr, leaseEnd)...)
		}
	}
	convicted = append(convicted, s.loadStaleRuns(j, r.Stale, leaseEnd)...)
	if !ended {
		s.resumeWaits(j)
	}
	return convicted
}

// loadTask restores a task. It returns the tasks to be given up, because the processes that had their
// runs have ended since.
func (s *Scheduler) loadTask(j *job, r taskRecord, leaseEnd clock.Millis) (convicted []*task) {
	o := j.openOccurrence(r.Occurrence)
	if r.Step < 0 || r.Index < 0 || r.Step >= len(o.steps) || r.Index >= len(o.steps[r.Step]) {
		s.emit(logger.RecordInvalid, logger.String("id", j.spec.ID))
		return nil
	}
	t := o.steps[r.Step][r.Index]
	t.attempt, t.failures, t.checkpoint, t.stored = r.Attempt, r.Failures, r.Checkpoint, r
	t.crashes, t.suspicion = r.Crashes, r.Suspicion
	if r.RunEnded != 0 {
		t.runEndedAt = j.acceptedReading + clock.Millis(r.RunEnded)
	}
	if r.Done && !t.spec().LongRunning {
		t.state = done
		o.done[r.Step]++
		if o.done[r.Step] == t.spec().Count {
			o.remaining--
		}
		return nil
	}
	if r.Worker == "" {
		return nil
	}
	w, convicted := s.loadWorker(r, leaseEnd)
	// The former leader may have sent the order without getting an answer.
	t.state, t.worker, t.pace, t.recorded, t.unclear = placed, w, 100, true, true
	t.paceUnknown, t.inherited = t.spec().Filler, true
	if w.info.Born > r.Born {
		// An order to the former process may have reached its successor.
		t.unresolvedSince = s.now()
		if s.noteFormerCrash(t, w) {
			convicted = append(convicted, t)
		}
	}
	w.addTask(t)
	return convicted
}

// loadWorker returns the worker of a stored run, which may have it still. It returns the tasks to be given
// up, as loadTask does.
func (s *Scheduler) loadWorker(r taskRecord, leaseEnd clock.Millis) (w *worker, convicted []*task) {
	w = s.workers[r.Worker]
	if w == nil {
		w = &worker{info: WorkerInfo{ID: r.Worker, Born: r.Born, Address: r.Address}}
		s.setWorker(r.Worker, w)
	}
	now := s.now()
	if w.info.Born < r.Born {
		// The registry lags behind: the worker itself has reported the later start. The
		// address of that process is unknown; its clock shows at least 0.
		w.info.Born, w.info.Address, w.clockReading, w.clockReadAt = r.Born, "", 0, now
		for _, o := range w.tasks {
			o.unresolvedSince = now
			if s.noteFormerCrash(o, w) {
				convicted = append(convicted, o)
			}
		}
	}
	w.inherited.end, w.inherited.grantedAt, w.unreconciled = leaseEnd, now, true
	return w, convicted
}

// Inherit marks every worker as possibly having runs of a former leader, until it reports
// or its lease expires. until is when the leases that the former leader granted have
// expired.
func (s *Scheduler) Inherit(until clock.Millis) {
	now := s.now()
	s.inherited.end = max(s.inherited.end, until)
	for _, w := range s.workers {
		w.inherited.end, w.inherited.grantedAt, w.unreconciled = max(w.inherited.end, until), now, true
	}
}
