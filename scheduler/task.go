package scheduler

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// TaskName identifies a task.
	TaskName struct {
		Job        string
		Occurrence int
		Step       int
		Index      int
	}

	// taskState is where a task is in its life.
	taskState int

	// task is one unit of work of an occurrence.
	task struct {
		occurrence *occurrence
		step       int
		index      int
		state      taskState
		// attempt is the number of the newest run; 0 before the first.
		attempt    int
		failures   int
		checkpoint string
		// worker has the newest run while the state is placed or running.
		worker *worker
		// confirmed is when the worker was first known to have the run.
		confirmed clock.Millis
		// unclear is whether an order to start the newest run was not answered, so that it
		// may be carried out yet.
		unclear bool
		// sending counts the orders about the newest run that are on their way.
		sending int
		// recorded is whether the record with the newest run is stored.
		recorded bool
		// placed is when the run was given its worker.
		placed clock.Millis
		// percent and progressed are the last reported progress and when it rose.
		percent    int
		progressed clock.Millis
		// stalled is whether the last report showed no progress for too long.
		stalled bool
		// stopping is set once a stop was ordered for the newest run.
		stopping bool
		// settling is set when an answer leaves open whether the run took place; the
		// next report of the worker decides.
		settling clock.Millis
		// pace is the share of its speed that a filler is allowed, in percent.
		pace int
		// paceOpen is whether a former leader may have set another pace.
		paceOpen bool
		// avoid is the worker of the last failed run.
		avoid string
		// waiting is since when the task could have started; 0 while it has a worker.
		waiting clock.Millis
		// retryAt delays the next placement.
		retryAt clock.Millis
		// slowSince is since when a filler has been slowed; 0 when it is not.
		slowSince clock.Millis
		// load is the reported processor use of a filler, in thousandths of a core.
		load int64
		// tail is the reported tail latency of a task that serves.
		tail clock.Millis
		// learntAt is when the tail was last learnt from.
		learntAt clock.Millis
		// use is the processor use of a filler at full speed, as a share of what it is
		// declared to use; 0 before it was seen.
		use float64
		// pacedAt is when the pace of a filler was last changed.
		pacedAt clock.Millis
		// over is since when the tail has been over the objective; 0 when it is not.
		over clock.Millis
	}
)

const (
	pending taskState = iota
	// placed runs have a worker in the stored record; the worker has not confirmed.
	placed
	running
	done
)

// ParseTaskName reads a name such as "5c0e7a21d94b36f8.0.1.17".
func ParseTaskName(s string) (TaskName, error) {
	f := strings.Split(s, ".")
	if len(f) != 4 {
		return TaskName{}, errors.Errorf("scheduler.ParseTaskName: %q has not four parts", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(f[i+1])
		if err != nil {
			return TaskName{}, errors.Wrap(err, "scheduler.ParseTaskName")
		}
		n[i] = v
	}
	return TaskName{Job: f[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// String returns the name as workers know it.
func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

func (t *task) name() TaskName {
	return TaskName{Job: t.occurrence.job.spec.ID, Occurrence: t.occurrence.number, Step: t.step, Index: t.index}
}

// left notes on the worker that a filler has gone.
func (t *task) left(now clock.Millis) {
	if t.worker != nil && t.spec().Filler {
		t.worker.fillerLeftAt, t.worker.grouped = now, false
	}
}

// pacedCPU returns the processor use of a filler at its pace.
func (t *task) pacedCPU() int64 { return t.spec().CPU * int64(t.pace) / 100 }

func (t *task) spec() *Step { return &t.occurrence.job.spec.Steps[t.step] }

func (t *task) job() *job { return t.occurrence.job }

// held reports whether a run of the task may be at work.
func (t *task) held() bool { return t.state == placed || t.state == running }
