package scheduler

import (
	"unicode/utf8"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Spec is a job as its caller submitted it.
	Spec struct {
		ID    string `json:"id"`
		Queue Queue  `json:"queue"`
		// Tenant is the name of the tenant that submitted the job; empty if its queue is public
		// or the deployment has no tenants.
		Tenant string `json:"tenant,omitempty"`
		// Text is passed unchanged to every run.
		Text  string `json:"text,omitempty"`
		Steps []Step `json:"steps"`
		// FirstDue is the Unix time of the first occurrence, and Period the time between
		// occurrences; Repeat is the number of occurrences, 0 for a job that runs once at
		// submission.
		FirstDue clock.Millis `json:"first-due,omitempty"`
		Period   clock.Millis `json:"period,omitempty"`
		Repeat   int          `json:"repeat,omitempty"`
	}

	// Phase is the state of a job as a whole.
	Phase string

	// job is an accepted job.
	job struct {
		spec       Spec
		phase      Phase
		acceptedAt clock.Millis
		// acceptedReading is acceptedAt on the clock that leaders hand on; 0 if it is not known.
		acceptedReading clock.Millis
		// runEndedAt is when a run of one of its tasks last ended that may have begun; 0 if none has.
		runEndedAt clock.Millis
		// endedAt is when the phase became final, in Unix time; endedReading is that on the clock that
		// leaders hand on, 0 if it is not known.
		endedAt, endedReading clock.Millis
		// unsubmitted is whether the job was cancelled and no submission of it is known. Its spec has only
		// the ID and the tenant of the caller then.
		unsubmitted bool
		// loaded is whether the job was loaded from the record of a former leader.
		loaded bool
		// longRunning is whether a step runs until the job is cancelled.
		longRunning bool
		// version counts the batches with records of the job.
		version int64
		// storedHead is the head of the last record of the whole job, chunkKeys are the keys
		// of the chunks that were stored since.
		storedHead jobHead
		chunkKeys  []string
		// sent is whether TakeBatch has returned a record of the job, which may thus be
		// stored already.
		sent bool
		// storedPhase is the phase in the stored record; empty if there is none. Callers
		// see only this phase, as an unstored one may still be lost.
		storedPhase Phase
		// deposited is whether the job was accepted from a deposit in the store, which
		// keeps the job until its record is stored.
		deposited bool
		// deposits is the number of deposits of the job that were passed to SubmitDeposited and may
		// still be in the store.
		deposits int
		// occurrences holds the occurrences that are due and not done, by number.
		occurrences     map[int]*occurrence
		doneOccurrences map[int]bool
		// doneCount is the number of doneOccurrences.
		doneCount int
		// stale are the runs that workers may have although they are not the newest of their tasks;
		// only for jobs of tenants. staleChanges counts their changes.
		stale        []*staleRun
		staleChanges int
	}

	// jobHead is what a record of a whole job has besides the tasks and what the caller
	// submitted.
	jobHead struct {
		phase        Phase
		doneCount    int
		staleChanges int
		keepsRuns    bool
		unsubmitted  bool
	}

	// occurrence is one execution of all steps of a job.
	occurrence struct {
		job    *job
		number int
		steps  [][]*task
		// done is the number of done tasks of each step.
		done []int
		// runs is the number of tasks of each step that have a run.
		runs []int
		// blocked is, for each step, whether the last round of placing that tried its tasks left
		// some without a run for another reason than its limit on starts.
		blocked []bool
		// remaining is the number of steps that are not done.
		remaining int
		// admissions are the policy's decisions by step; only for queues with a policy.
		admissions map[int]*admission
		// baselines of the steps with serving tasks, by step.
		baselines map[int]*baseline
	}
)

// Phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Validate returns an error that describes the first invalid field of a submitted job.
func (s *Spec) Validate() error {
	if len(s.Steps) == 0 {
		return errors.New("a job needs at least one step")
	}
	if err := s.Queue.validate(); err != nil {
		return err
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		total += s.Steps[i].Count
	}
	if total > maxTasks {
		return errors.Errorf("%d tasks exceed the maximum of %d", total, maxTasks)
	}
	if s.Repeat < 0 || s.Repeat > 0 && s.Period < 0 {
		return errors.New("the number of repeats or the period of a repeated job is negative")
	}
	if s.Repeat > maxRepeat || s.Period > maxPeriod || s.FirstDue < -maxFirstDue || s.FirstDue > maxFirstDue {
		return errors.Errorf("more than %d repeats, a period of more than %d ms, or a start more than %d ms from 1970", maxRepeat, int64(maxPeriod), int64(maxFirstDue))
	}
	if n := s.recordSize(); n > maxSpecBytes {
		return errors.Errorf("the record of the job takes %d bytes, more than %d", n, maxSpecBytes)
	}
	return nil
}

// recordSize returns about how many bytes the job takes in its record, at most.
func (s *Spec) recordSize() int {
	n := textSize(s.Text) + textSize(s.ID) + textSize(s.Queue.Name) + textSize(s.Queue.Service) + textSize(s.Tenant)
	for i := range s.Steps {
		t := &s.Steps[i]
		n += stepBytes + textSize(t.Label) + textSize(t.Rack) + textSize(t.Image) + indexBytes*len(t.After)
	}
	return n
}

// textSize returns the size of a string in JSON, in which some characters take six bytes.
func textSize(s string) int {
	n := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c >= utf8.RuneSelf {
			n += 5
		}
	}
	return n
}

// final reports whether a phase never changes again.
func (p Phase) final() bool { return p == Completed || p == Failed || p == Cancelled }

// occurrenceCount returns how often the job's steps run.
func (j *job) occurrenceCount() int { return max(j.spec.Repeat, 1) }

// due returns when occurrence k of a repeated job is due, in Unix time.
func (j *job) due(k int) clock.Millis { return j.spec.FirstDue + clock.Millis(k)*j.spec.Period }

// untilDue returns how long after a time of day occurrence k is due, 0 if it is due. Only the times of a
// repeated job are compared with the time of day, as its caller gives them in that: a job that isn't
// repeated was due when it was accepted, also if this leader's time of day is earlier.
func (j *job) untilDue(k int, wall clock.Millis) clock.Millis {
	if j.spec.Repeat == 0 {
		return 0
	}
	return max(j.due(k)-wall, 0)
}

// openOccurrence returns occurrence k, which it creates with all tasks pending if it is
// absent.
func (j *job) openOccurrence(k int) *occurrence {
	if o := j.occurrences[k]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: k, done: make([]int, len(j.spec.Steps)), runs: make([]int, len(j.spec.Steps)), blocked: make([]bool, len(j.spec.Steps)), remaining: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		tasks := make([]*task, j.spec.Steps[i].Count)
		for n := range tasks {
			tasks[n] = &task{occurrence: o, step: i, index: n}
		}
		o.steps = append(o.steps, tasks)
	}
	j.occurrences[k] = o
	return o
}

// ready reports whether all steps that step i depends on are done.
func (o *occurrence) ready(i int) bool {
	for _, a := range o.job.spec.Steps[i].After {
		if o.done[a] < o.job.spec.Steps[a].Count {
			return false
		}
	}
	return true
}

func (j *job) head() jobHead {
	return jobHead{j.phase, j.doneCount, j.staleChanges, j.keepsRuns(), j.unsubmitted}
}

// eachTask calls f for every task of every open occurrence. The order of the occurrences
// is random.
func (j *job) eachTask(f func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s {
				f(t)
			}
		}
	}
}
