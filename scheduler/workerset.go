package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// setWorker adds a worker, or replaces the one with its ID.
func (s *Scheduler) setWorker(id string, w *worker) {
	w.shares = s.shares
	s.workers[id], s.workersByID = w, nil
}

func (s *Scheduler) deleteWorker(id string) {
	delete(s.workers, id)
	s.workersByID = nil
}

// sortedWorkers returns the workers ordered by ID, so that decisions are deterministic. The caller
// must not change the slice.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workersByID == nil {
		s.workersByID = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.workersByID
}
