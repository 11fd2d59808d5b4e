package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// searchCache remembers which requirements no worker has met, so that the next rounds of
	// placing only look at the workers that have changed since. While many tasks wait, most
	// rounds find no room for most of them.
	searchCache struct {
		// changes are the workers whose room or readings have changed, in order. The numbers of
		// the changes go on from dropped, the number of those that are no longer kept.
		changes []*worker
		dropped int
		failed  map[requirementKey]failedSearch
	}

	// failedSearch is a search of all workers that found none.
	failedSearch struct {
		size resourceSize
		// at is when all workers were searched.
		at clock.Millis
		// seen is the number of changes that were searched since.
		seen int
	}
)

const (
	// searchInterval is the time after which all workers are searched again, as some become
	// suitable without a change: a predicted load falls, a task tolerates more after it has
	// waited, a quarantine ends.
	searchInterval = 200 * clock.Millis(1)
	// maxChanges is the number of changes that are kept.
	maxChanges = 4096
)

// noteChange records that a worker has got more room, or new readings.
func (c *searchCache) noteChange(w *worker) {
	if len(c.changes) == maxChanges {
		const kept = maxChanges / 2
		c.dropped += maxChanges - kept
		c.changes = append(c.changes[:0], c.changes[maxChanges-kept:]...)
	}
	c.changes = append(c.changes, w)
}

// candidates returns the workers to search for a task with the given requirements: the changed ones
// if a search for at most the same size has failed recently, else all. It also returns whether these
// are only the changed ones.
func (c *searchCache) candidates(k requirementKey, size resourceSize, all []*worker, now clock.Millis) ([]*worker, bool) {
	f, ok := c.failed[k]
	if !ok || !f.size.fitsIn(size) || now-f.at >= searchInterval || f.seen < c.dropped {
		return all, false
	}
	changed := c.changes[f.seen-c.dropped:]
	if len(changed) >= len(all) {
		return all, false
	}
	return changed, true
}

// noteFailure records that none of the workers that candidates returned was suitable.
func (c *searchCache) noteFailure(k requirementKey, size resourceSize, onlyChanged bool, now clock.Millis) {
	seen := c.dropped + len(c.changes)
	if onlyChanged {
		f := c.failed[k]
		f.seen = seen
		c.failed[k] = f
		return
	}
	if c.failed == nil {
		c.failed = map[requirementKey]failedSearch{}
	}
	c.failed[k] = failedSearch{size: size, at: now, seen: seen}
}

// isCacheable reports whether a failed search for a task of the step shows that tasks with the same
// requirements find no worker either.
func (s *Spec) isCacheable(step int) bool {
	t := &s.Steps[step]
	return t.PerWorker == 0 && !t.Gang && !t.LongRunning && t.Rack == "" && s.Queue.Advice == nil
}
