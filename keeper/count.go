package keeper

import "fmt"

type (
	// TaskCounts holds three numbers of tasks: running, waiting, and unknown, which are those
	// whose last run may or may not have completed.
	TaskCounts struct {
		running int
		waiting int
		unknown int
	}
)

// Running returns the number of tasks that are assigned to a worker, started or not.
func (c TaskCounts) Running() int { return c.running }

// Waiting returns the number of tasks waiting for a worker.
func (c TaskCounts) Waiting() int { return c.waiting }

// Unknown returns the number of tasks that must not run twice and of which it isn't known
// whether they completed.
func (c TaskCounts) Unknown() int { return c.unknown }

// Add returns the sum of c and o.
func (c TaskCounts) Add(o TaskCounts) TaskCounts {
	return TaskCounts{running: c.running + o.running, waiting: c.waiting + o.waiting, unknown: c.unknown + o.unknown}
}

// String returns the counts as text, such as "2 running, 1 waiting". Unknown tasks are left
// out if there are none.
func (c TaskCounts) String() string {
	s := fmt.Sprintf("%d running, %d waiting", c.running, c.waiting)
	if c.unknown > 0 {
		s += fmt.Sprintf(", %d unknown", c.unknown)
	}
	return s
}

// Counts returns the counts of the shard's tasks by service or job name. Tasks without a
// declaration are left out.
func (k *Keeper) Counts() map[string]TaskCounts {
	counts := map[string]TaskCounts{}
	for _, t := range k.tasks {
		if t.spec == nil {
			continue
		}
		counts[t.spec.work] = counts[t.spec.work].Add(countOf(t))
	}
	return counts
}

// Count returns the counts of all tasks of the shard that have not ended.
func (k *Keeper) Count() TaskCounts {
	var sum TaskCounts
	for _, t := range k.tasks {
		sum = sum.Add(countOf(t))
	}
	return sum
}

func countOf(t *task) TaskCounts {
	switch t.state {
	case stateGranted:
		return TaskCounts{running: 1}
	case stateWaiting:
		return TaskCounts{waiting: 1}
	case stateUnknown:
		return TaskCounts{unknown: 1}
	}
	return TaskCounts{}
}
