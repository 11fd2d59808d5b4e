package scheduler

import (
	"maps"

	"galenawharf.example/galenawharf/clock"
)

// endedProcess is a worker process that is known to have ended. Its entry may still be in the registry,
// or come back to it.
type endedProcess struct {
	born int64
	at   clock.Millis
	// heard is whether the process has answered. Otherwise the start may have been made up by
	// another writer, and says nothing of processes that started before.
	heard bool
	// address is where it was looked for. If it was not heard, another entry with the same start and
	// another address may be the true one.
	address string
}

// endedRetention is how long an ended process is remembered, longer than an entry of it may last.
const endedRetention = 10 * clock.Minute

// noteEnded remembers that a worker process has ended.
func (s *Scheduler) noteEnded(w *worker) {
	now := s.now()
	maps.DeleteFunc(s.ended, func(_ string, e endedProcess) bool { return now-e.at >= endedRetention })
	if w.info.Born != 0 {
		s.ended[w.info.ID] = endedProcess{born: w.info.Born, at: now, heard: w.heard, address: w.info.Address}
	}
}

// isEnded reports whether a registry entry is that of a process which is known to have ended.
func (s *Scheduler) isEnded(i WorkerInfo) bool {
	e, ok := s.ended[i.ID]
	return ok && (e.heard && i.Born <= e.born || i.Born == e.born && (e.address == "" || i.Address == e.address))
}
