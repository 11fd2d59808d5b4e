package keeper

import "fmt"

type (
	// Count holds three numbers of tasks: running, waiting, and unknown, which are those
	// whose last run may or may not have completed.
	Count struct {
		running int
		waiting int
		unknown int
	}
)

// Running returns the number of tasks that are assigned to a worker, started or not.
func (c Count) Running() int { return c.running }

// Waiting returns the number of tasks waiting for a worker.
func (c Count) Waiting() int { return c.waiting }

// Unknown returns the number of tasks that must not run twice and of which it isn't known
// whether they completed.
func (c Count) Unknown() int { return c.unknown }

// Add returns the sum of c and o.
func (c Count) Add(o Count) Count {
	return Count{running: c.running + o.running, waiting: c.waiting + o.waiting, unknown: c.unknown + o.unknown}
}

// String returns the counts as text, such as "2 running, 1 waiting". Unknown tasks are left
// out if there are none.
func (c Count) String() string {
	s := fmt.Sprintf("%d running, %d waiting", c.running, c.waiting)
	if c.unknown > 0 {
		s += fmt.Sprintf(", %d unknown", c.unknown)
	}
	return s
}

// Counts returns the counts of the shard's tasks by service or job name. Tasks without a
// declaration are left out.
func (k *Keeper) Counts() map[string]Count {
	counts := map[string]Count{}
	for _, t := range k.tasks {
		if t.spec == nil {
			continue
		}
		counts[t.spec.work] = counts[t.spec.work].Add(countOf(t))
	}
	return counts
}

// Count returns the counts of all tasks of the shard that have not ended.
func (k *Keeper) Count() Count {
	var sum Count
	for _, t := range k.tasks {
		sum = sum.Add(countOf(t))
	}
	return sum
}

func countOf(t *task) Count {
	switch t.state {
	case stateGranted:
		return Count{running: 1}
	case stateWaiting:
		return Count{waiting: 1}
	case stateUnknown:
		return Count{unknown: 1}
	}
	return Count{}
}
