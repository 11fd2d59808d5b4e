package placer

import (
	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
)

const (
	// serviceStopSpan is the time over which the services of a drained data centre are
	// stopped.
	serviceStopSpan = 20 * clock.Second
	// batchStopDelay is when the last batch tasks are stopped. Tasks that are expected to
	// end earlier run until then.
	batchStopDelay = 5 * clock.Minute
)

// Evacuate returns the ids of the tasks to stop now on workers that were drained at
// since. Services are stopped first, spread over time so that the remaining data centres
// are not asked to place all of them at once, then batch tasks that would not end in
// time. The result depends on the arguments and the task ids only, so a new shard owner
// continues where the previous one stopped.
func (p *Placer) Evacuate(now, since clock.Millis, workers []Worker) []string {
	var out []string
	for _, w := range workers {
		for _, t := range w.residents {
			if now >= since.Add(p.stopDelay(since, t)) {
				out = append(out, t.id)
			}
		}
	}
	return out
}

// stopDelay returns how long after the start of the drain a task is stopped.
func (p *Placer) stopDelay(since clock.Millis, t Task) clock.Millis {
	offset := clock.Millis(xxhash.Sum64String(t.id) % uint64(serviceStopSpan))
	if t.kind == Service {
		return offset
	}
	if t.started.Add(p.runTime(since, t)) <= since.Add(batchStopDelay) {
		return batchStopDelay
	}
	return serviceStopSpan + offset
}
