package keeper

import "fmt"

type (
	// Count is how many tasks of something run, wait and are of unknown end.
	Count struct {
		running int
		waiting int
		unknown int
	}
)

// Running gives the number of tasks that were granted to a worker.
func (c Count) Running() int { return c.running }

// Waiting gives the number of tasks that wait for a worker.
func (c Count) Waiting() int { return c.waiting }

// Unknown gives the number of tasks that may or may not have run.
func (c Count) Unknown() int { return c.unknown }

// Add gives the sum of c and o.
func (c Count) Add(o Count) Count {
	return Count{running: c.running + o.running, waiting: c.waiting + o.waiting, unknown: c.unknown + o.unknown}
}

// String gives the count in words.
func (c Count) String() string {
	s := fmt.Sprintf("%d running, %d waiting", c.running, c.waiting)
	if c.unknown > 0 {
		s += fmt.Sprintf(", %d unknown", c.unknown)
	}
	return s
}

// Counts gives the tasks of each service or job that the shard has.
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

// Count gives the tasks that the shard has.
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
