package placer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// FirstFit assigns each waiting task, in the given order, to the first worker with room
// for its declared size. It is the baseline for measuring Place.
func FirstFit(_ clock.Millis, waiting []Task, workers []Worker) []Decision {
	free := make([]sizer.Size, len(workers))
	for i, w := range workers {
		free[i] = w.free
	}
	var out []Decision
	for _, t := range waiting {
		for i, w := range workers {
			if w.closed || !t.size.Fits(free[i]) {
				continue
			}
			free[i] = free[i].Sub(t.size)
			out = append(out, NewDecision(t.id, w.name))
			break
		}
	}
	return out
}
