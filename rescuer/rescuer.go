// Package rescuer decides which tasks start on a worker although they disturb its serving tasks by more
// than they may otherwise, so that no job, and no long-running task, is without a run permanently while
// workers have room. Such tasks are few, and each worker gets one at a time; the paces of their runs
// protect the serving tasks.
package rescuer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

// Offer is a worker that has room for a task.
type Offer struct {
	// Interference is how much the task would disturb the serving tasks of the worker.
	Interference float64
	// Violated is whether a serving task of the worker violates its objective now.
	Violated bool
	// Rescued is the number of runs there that this package has let start.
	Rescued int
}

const (
	// MaxIdle is the time for which a job may have nothing running before one of its tasks is due. The
	// customers' jobs of fillers have an objective of about 10 s from their acceptance: two steps of
	// 2.2 s, with a factor of 2 and 1 s more.
	MaxIdle = 10 * clock.Second
	// MaxLastingWait is the wait from which a long-running task is due. The platform wants a new run within
	// nine seconds of the end of the last one. Six of them may pass before the lease of a lost worker has
	// ended, and the last is for the order, and for other tasks that are due.
	MaxLastingWait = 2 * clock.Second
	// SettleTime is how long a rescued long-running task counts as such: its worker has then reported what
	// it causes, and its pace follows that.
	SettleTime = 500 * clock.Millis(1)
	// MaxPerWorker is the number of rescued runs that a worker may have at a time. The model of the
	// interference is corrected by what one run is seen to cause.
	MaxPerWorker = 1
	// WorkerShare bounds the rescued runs to a share of the workers, as under overload there is always a
	// job that has waited for MaxIdle. It is that of the workers that are reserved for large tasks.
	WorkerShare = 0.1
	// MaxStarts is the number of tasks that are due at a time: their workers report within half a second
	// what the runs cause, so that mistakes of the model show before many have started.
	MaxStarts = 4
	// Interval is the least time between two choices of due tasks. With MaxStarts it bounds the starts to
	// 20 a second, and the processor time.
	Interval = 200 * clock.Millis(1)
)

// Due returns the indexes of the jobs of which a task is due, by the times for which they have had
// nothing running: those of the longest times. rescued is the number of rescued runs on the workers.
func Due(idle []clock.Millis, rescued, workers int) []int {
	due := longest(idle, MaxIdle)
	left := max(1, int(WorkerShare*float64(workers))) - rescued
	return due[:max(0, min(len(due), MaxStarts, left))]
}

// DueLasting returns the indexes of the long-running tasks that are due, by their waits, the longest first.
// At most MaxStarts of them may start at a time; others take the turns of those without a worker. They are
// not bounded by WorkerShare, as they don't end and each has to run.
func DueLasting(waits []clock.Millis) []int { return longest(waits, MaxLastingWait) }

// longest returns the indexes of the waits of at least the given length, the longest first.
func longest(waits []clock.Millis, least clock.Millis) []int {
	due := make([]int, 0, len(waits))
	for i, d := range waits {
		if d >= least {
			due = append(due, i)
		}
	}
	slices.SortStableFunc(due, func(a, b int) int { return cmp.Compare(waits[b], waits[a]) })
	return due
}

// Choose returns the index of the worker where a task disturbs least, or -1 if there is none for it now.
func Choose(offers []Offer) int {
	best := -1
	for i, o := range offers {
		if o.Violated || o.Rescued >= MaxPerWorker {
			continue
		}
		if best < 0 || o.Interference < offers[best].Interference {
			best = i
		}
	}
	return best
}
