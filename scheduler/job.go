package scheduler

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Spec is a job as its caller submitted it.
	Spec struct {
		ID    string `json:"id"`
		Queue Queue  `json:"queue"`
		// Text is passed to every run as it is.
		Text  string `json:"text,omitempty"`
		Steps []Step `json:"steps"`
		// FirstDue is the Unix time of the first occurrence; Repeat is the number
		// of occurrences, 0 for a job that runs once at submission.
		FirstDue clock.Millis `json:"first-due,omitempty"`
		Period   clock.Millis `json:"period,omitempty"`
		Repeat   int          `json:"repeat,omitempty"`
	}

	// Phase is the state of a job as a whole.
	Phase string

	// job is an accepted job.
	job struct {
		spec     Spec
		phase    Phase
		accepted clock.Millis
		// ended is when the phase became final, in Unix time.
		ended clock.Millis
		// lasting is whether a step runs until the job is cancelled.
		lasting bool
		// sent is whether a record of the job was ever on its way to the store.
		sent bool
		// stored is the phase as the store has it; callers are shown no other.
		stored Phase
		// deposited is whether the job was accepted through the store, where it lies until
		// its own record is stored.
		deposited bool
		// occurrences by number; a later one is absent until it is due.
		occurrences map[int]*occurrence
		doneSet     map[int]bool
		// finished counts the occurrences that are done.
		finished int
	}

	// occurrence is one run through the steps of a job.
	occurrence struct {
		job    *job
		number int
		steps  [][]*task
		// done counts the done tasks of each step.
		done []int
		// remaining counts the steps that are not done.
		remaining int
		// permits has what is known of who may run each step, by step; only for queues
		// with a policy.
		permits map[int]*permits
		// baselines of the steps that serve, by step.
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

// Validate reports the first fault of a submitted job.
func (s *Spec) Validate() error {
	if len(s.Steps) == 0 {
		return errors.New("a job needs at least one step")
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		total += s.Steps[i].Count
	}
	if total > maxTasks {
		return errors.Errorf("%d tasks are more than %d", total, maxTasks)
	}
	if s.Repeat < 0 || s.Repeat > 0 && s.Period < 0 {
		return errors.New("a repeated job needs a period that is not negative")
	}
	return nil
}

// final reports whether a phase never changes again.
func (p Phase) final() bool { return p == Completed || p == Failed || p == Cancelled }

// occurrenceCount returns how often the steps run.
func (j *job) occurrenceCount() int { return max(j.spec.Repeat, 1) }

// due returns the Unix time of occurrence k.
func (j *job) due(k int) clock.Millis {
	if j.spec.Repeat == 0 {
		return j.accepted
	}
	return j.spec.FirstDue + clock.Millis(k)*j.spec.Period
}

// open returns occurrence k, which it creates with all tasks waiting.
func (j *job) open(k int) *occurrence {
	if o := j.occurrences[k]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: k, done: make([]int, len(j.spec.Steps)), remaining: len(j.spec.Steps)}
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

// ready reports whether the tasks of step i may start.
func (o *occurrence) ready(i int) bool {
	for _, a := range o.job.spec.Steps[i].After {
		if o.done[a] < o.job.spec.Steps[a].Count {
			return false
		}
	}
	return true
}

// eachTask calls f for every task of every open occurrence.
func (j *job) eachTask(f func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s {
				f(t)
			}
		}
	}
}
