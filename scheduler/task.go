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

	// taskState is the state of a task.
	taskState int

	// task is one unit of work of an occurrence.
	task struct {
		occurrence *occurrence
		step       int
		index      int
		state      taskState
		// attempt is the number of the newest run; 0 before the first.
		attempt  int
		failures int
		// crashes is the number of workers that have crashed with a run of the task, without
		// those crashes that surely had another cause. suspicion is the weight of the
		// evidence that the task has caused them, since a run of it last settled.
		crashes, suspicion int
		checkpoint         string
		// stored is the task's form in the last batch; empty before the first run.
		stored taskRecord
		// worker is where the newest run is while the state is placed or running.
		worker *worker
		// confirmedAt is when the worker first confirmed the run.
		confirmedAt clock.Millis
		// settled is whether the worker has listed the newest run proofTime after its start.
		settled bool
		// inherited is whether the newest run was placed by a former leader.
		inherited bool
		// lossNoted is whether the loss of the newest run has counted as evidence.
		lossNoted bool
		// trialWorker is the worker that is kept for the next run since trialSince; nil if none
		// is.
		trialWorker *worker
		trialSince  clock.Millis
		// unclear is whether an order to start the newest run was not answered, so that
		// it may still be carried out.
		unclear bool
		// ordersInFlight is the number of unanswered orders about the newest run.
		ordersInFlight int
		// recorded is whether a record that names the newest run is stored.
		recorded bool
		// placedAt is the latest of the times at which the run was assigned to its
		// worker, its record was stored, and its order was sent again.
		placedAt clock.Millis
		// percent is the last reported progress. progressedAt is when it last changed, on the
		// clock of the worker; 0 before the first report.
		percent      int
		progressedAt clock.Millis
		// stalled is whether the run has made no progress for longer than its timeout.
		stalled bool
		// stalls is the number of runs that have stalled under this leader, since the task last
		// reached 100 percent.
		stalls int
		// stopping is set once a stop was ordered for the newest run.
		stopping bool
		// stopUnconfirmed is whether the last stop of the newest run was not confirmed, so that it
		// has to be sent again.
		stopUnconfirmed bool
		// unresolvedSince is when an answer left open whether the worker has the run; 0
		// if none did. The first report that was requested later shows it.
		unresolvedSince clock.Millis
		// pace is the share of its full speed at which a filler may run, in percent.
		pace int
		// paceUnknown is whether the pace may be another: a former leader may have set it, or
		// the order to set it was not carried out.
		paceUnknown bool
		// avoidWorker is the worker of the last failed or stalled run.
		avoidWorker string
		// waitingSince is when the task became ready to start; 0 while it has a worker.
		// waitedSince is waitingSince from before the newest run.
		waitingSince, waitedSince clock.Millis
		// rejections is the number of runs that workers have rejected as malformed, to this leader, since
		// one has begun: a task that has run is not malformed.
		rejections int
		// refusedBy has the worker processes that have refused a run of the task, by ID with their
		// start times, since each worker with room for it was tried.
		refusedBy map[string]int64
		// reservation keeps room for the task; nil if there is none. noRoomIn is the last round of
		// placing in which the task fitted on no worker after a wait of roomWait.
		reservation *reservation
		noRoomIn    int
		// runEndedAt is when the last run that may have begun ended, as a reading of the clock that
		// leaders hand on. If only starts that were refused came before, it is when the wait for them
		// began. 0 if there was none, or if it is not known.
		runEndedAt clock.Millis
		// rescued is whether the newest run started because the job had nothing running.
		rescued bool
		// retryAt is the earliest time of the next run.
		retryAt clock.Millis
		// slowSince is when the pace of a filler became slow; 0 if it is not.
		slowSince clock.Millis
		// cpuUse is the reported processor use, in thousandths of a core, of a task that
		// does not serve.
		cpuUse int64
		// tailLatency is the reported tail latency of a serving task.
		tailLatency clock.Millis
		// modelledAt is when the models were last updated from the tail latency.
		modelledAt clock.Millis
		// fullSpeedUse is the processor use of a filler at full speed, as a share of its
		// declared use; 0 before it was measured.
		fullSpeedUse float64
		// pacedAt is when the pace of a filler was last changed.
		pacedAt clock.Millis
		// overSince is when the task began to violate its objective; 0 if it meets it.
		overSince clock.Millis
		// withoutRunSince is since when a long-running task is without a run that its worker
		// has confirmed; 0 if the last check found one.
		withoutRunSince clock.Millis
		// nextWaitLine is when the wait of a long-running task is to be logged next.
		nextWaitLine clock.Millis
	}
)

const (
	pending taskState = iota
	// placed: the task has a run on a worker that has not confirmed it yet.
	placed
	running
	done
)

// ParseTaskName parses a name such as "5c0e7a21d94b36f8.0.1.17".
func ParseTaskName(s string) (TaskName, error) {
	f := strings.Split(s, ".")
	if len(f) != 4 {
		return TaskName{}, errors.Errorf("scheduler.ParseTaskName: %q does not have four parts", s)
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

// String returns the name in the form that workers use.
func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

func (t *task) name() TaskName {
	return TaskName{Job: t.occurrence.job.spec.ID, Occurrence: t.occurrence.number, Step: t.step, Index: t.index}
}

// markFillerLeft sets the time at which a filler last left the task's worker, if the task
// is a filler.
func (t *task) markFillerLeft(now clock.Millis) {
	if t.worker != nil && t.spec().Filler {
		t.worker.fillerLeftAt, t.worker.groupsValid = now, false
	}
}

// pacedCPU returns the processor use of a filler at its pace, in thousandths of a core.
func (t *task) pacedCPU() int64 { return t.spec().CPU * int64(t.pace) / 100 }

func (t *task) spec() *Step { return &t.occurrence.job.spec.Steps[t.step] }

func (t *task) job() *job { return t.occurrence.job }

// hasRun reports whether a run of the task may be active.
func (t *task) hasRun() bool { return t.state == placed || t.state == running }
