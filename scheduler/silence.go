package scheduler

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// silence is a stored record that the lease of a worker process is not extended. From the
	// batch that stores it until one that deletes it is stored, no leader extends that lease, or
	// one of another process of the worker, so the next leader need not wait any longer for its
	// end.
	silence struct {
		born int64
		// deleting is whether the batch that deletes the record has been taken.
		deleting bool
	}

	// silenceRecord is the stored form of a silence.
	silenceRecord struct {
		Born int64 `json:"born"`
		// LeaseEnd is when the lease has ended, as a reading of the clock that leaders hand on.
		LeaseEnd clock.Millis `json:"lease-end"`
	}
)

const (
	// silencePrefix sorts after jobPrefix, so that the jobs have named the workers when the
	// silences are loaded.
	silencePrefix = "silence/"
	// silenceDelay is how long a worker has to be silent before it is recorded, so that one
	// lost answer does not delay its next lease: the time of one more attempt to reach it.
	silenceDelay = 500 * clock.Millis(1)
)

// SetRelay sets the clock that leaders hand on. It must be called before Load; without it
// silences are neither stored nor loaded.
func (s *Scheduler) SetRelay(r *clock.Relay) { s.relay = r }

// DistrustSilences must be called before Load if a leader of a version that knows no silences may have
// led since they were stored. They are deleted, and do not limit leases.
func (s *Scheduler) DistrustSilences() { s.silencesDistrusted = true }

// LimitInherited must be called after Load with the time at which all leases that former leaders
// may have granted have ended, as a reading of the clock that leaders hand on. It is an upper
// bound besides that of Inherit.
func (s *Scheduler) LimitInherited(reading clock.Millis) {
	if s.relay == nil || reading == clock.Never {
		return
	}
	s.inherited.reading = reading
	s.inherited.end = min(s.inherited.end, s.localInherited(reading))
	for _, w := range s.workers {
		if w.unreconciled {
			s.limitInherited(w, reading)
		}
	}
}

// limitInherited limits the leases that former leaders may have granted to a worker.
func (s *Scheduler) limitInherited(w *worker, reading clock.Millis) {
	if w.inherited.reading == 0 || reading < w.inherited.reading {
		w.inherited.reading = reading
	}
	if l := s.localInherited(w.inherited.reading); l < w.inherited.end {
		w.inherited.end, w.inherited.grantedAt = l, l-LeaseBound(0, s.leaseLength)
	}
}

// localInherited returns the time on this host's clock of a reading that a former leader took.
func (s *Scheduler) localInherited(reading clock.Millis) clock.Millis {
	return s.relay.Local(reading) - s.unseen
}

// loadSilence restores a silence that a former leader stored.
func (s *Scheduler) loadSilence(key string, value []byte) error {
	if s.relay == nil {
		return nil
	}
	var r silenceRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrapf(err, "scheduler.Load: record %q", key)
	}
	id := strings.TrimPrefix(key, silencePrefix)
	s.silences[id] = &silence{born: r.Born}
	if w := s.workers[id]; w != nil && w.info.Born == r.Born && !s.silencesDistrusted {
		s.limitInherited(w, r.LeaseEnd)
	}
	return nil
}

// isRecordedSilent reports whether a stored record says that the lease of a worker is not extended.
func (s *Scheduler) isRecordedSilent(w *worker) bool { return s.silences[w.info.ID] != nil }

// needsSilence reports whether the silence of a worker has to be recorded: nothing was heard of it
// for silenceDelay, or in this term.
func (w *worker) needsSilence(now clock.Millis) bool {
	return w.silentSince != 0 && now-w.silentSince >= silenceDelay || w.unreconciled && (w.info.Address == "" || w.silentSince != 0)
}

// deleteSilence deletes the record of a worker's silence, if there is one, with the next batch.
func (s *Scheduler) deleteSilence(id string) {
	if r := s.silences[id]; r != nil && !r.deleting {
		r.deleting = true
		s.deletedKeys = append(s.deletedKeys, silencePrefix+id)
	}
}

// recordSilences stores the silence of each worker with runs that is not heard, and deletes the
// records that are of no use any more.
func (s *Scheduler) recordSilences() {
	if s.relay == nil {
		return
	}
	now := s.now()
	for id, r := range s.silences {
		w := s.workers[id]
		if w == nil || w.info.Born != r.born || len(w.tasks) == 0 {
			s.deleteSilence(id)
		}
	}
	for id, w := range s.workers {
		if s.silences[id] != nil || len(w.tasks) == 0 || !w.needsSilence(now) || now >= w.leaseBound() {
			continue
		}
		s.silences[id] = &silence{born: w.info.Born}
		s.silenceRecords = append(s.silenceRecords, Record{Key: silencePrefix + id, Value: marshal(silenceRecord{Born: w.info.Born, LeaseEnd: s.relay.At(w.leaseBound())})})
		s.emit(logger.SilenceRecorded, logger.String("worker", id), logger.Int("born", w.info.Born), logger.Int("runs", int64(len(w.tasks))),
			logger.Int("lease-left-ms", int64(w.leaseBound()-now)))
	}
}

// deletedSilences returns the workers whose records of silence are deleted by a batch with the
// current changes, by ID. It relies on the former batch being stored: of those that it deletes none
// is left.
func (s *Scheduler) deletedSilences() []string {
	var ids []string
	for id, r := range s.silences {
		if r.deleting {
			ids = append(ids, id)
		}
	}
	return ids
}
