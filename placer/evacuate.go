package placer

import (
	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
)

const (
	// serviceLeave is the time over which the services of a data centre that
	// is taken out are stopped.
	serviceLeave = 20 * clock.Second
	// batchLeave is the time by which all batch tasks are stopped. Those that
	// are expected to end before run on.
	batchLeave = 5 * clock.Minute
)

// Evacuate gives the tasks to stop now on workers that were taken out at a
// moment: services first and spread in time, so that the others are not asked
// for room all at once, then batch tasks that would not end in time. It keeps
// nothing, so a new owner goes on where another left off.
func (p *Placer) Evacuate(now, since clock.Millis, workers []Worker) []string {
	var out []string
	for _, w := range workers {
		for _, t := range w.residents {
			if now >= since.Add(p.leaves(since, t)) {
				out = append(out, t.id)
			}
		}
	}
	return out
}

// leaves gives how long after the data centre was taken out a task is stopped.
func (p *Placer) leaves(since clock.Millis, t Task) clock.Millis {
	offset := clock.Millis(xxhash.Sum64String(t.id) % uint64(serviceLeave))
	if t.kind == Service {
		return offset
	}
	if t.started.Add(p.runTime(since, t)) <= since.Add(batchLeave) {
		return batchLeave
	}
	return serviceLeave + offset
}
