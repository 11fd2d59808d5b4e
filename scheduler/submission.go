package scheduler

import (
	"slices"

	"github.com/pkg/errors"
)

// Submit accepts a job. It calls stored with nil once the acceptance is stored, which may
// be at once if the job was submitted or deposited before, or with the error that DropUnsent
// was called with. It returns ErrConflict if a job of another queue or tenant has the
// ID, ErrInvalid if the job has invalid fields, and ErrOverCap if the job is new and could never start within
// the cap of its tenant.
func (s *Scheduler) Submit(spec Spec, stored func(error)) error {
	if s.jobs[spec.ID] == nil {
		if err := s.checkCap(&spec); err != nil {
			return err
		}
	}
	j, err := s.accept(spec)
	if err != nil {
		return err
	}
	if j.storedPhase != "" || j.deposited {
		stored(nil)
	} else {
		s.replies = append(s.replies, reply{j, stored})
	}
	return nil
}

// SubmitDeposited accepts a job that was deposited in the store. Phase returns its phase at once,
// since the deposit is already stored. SubmitDeposited calls stored when a record of the job is
// stored too, so that the deposit is no longer needed; the record is kept until DepositDeleted is called.
// Its errors are those of Submit, except that caps are not checked, as the deposit was answered with
// success.
func (s *Scheduler) SubmitDeposited(spec Spec, stored func(error)) error {
	j, err := s.accept(spec)
	if err != nil {
		return err
	}
	j.deposited = true
	j.deposits++
	if j.storedPhase != "" {
		stored(nil)
	} else {
		s.replies = append(s.replies, reply{j, stored})
	}
	return nil
}

// accept returns the job with the ID of a submission, which it creates if it is new. Its
// errors are those of Submit.
func (s *Scheduler) accept(spec Spec) (*job, error) {
	if j := s.jobs[spec.ID]; j != nil {
		if j.unsubmitted {
			return j, s.acceptCancelled(j, spec)
		}
		if j.spec.Queue.Name != spec.Queue.Name || j.isOtherTenant(spec.Tenant) {
			return nil, ErrConflict
		}
		return j, nil
	}
	if err := spec.Validate(); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	j := &job{spec: spec, phase: Queued, acceptedAt: s.wall(), acceptedReading: s.reading(), occurrences: map[int]*occurrence{}}
	s.jobs[spec.ID] = j
	s.active[j] = struct{}{}
	s.markDirty(j)
	s.recordWork(j)
	s.openDueOccurrences(j)
	return j, nil
}

// Cancel ends a job that has not ended yet. It calls stored with nil once the final phase
// of the job is stored. It returns ErrUnknown if there is no such job, or it belongs to another
// tenant; calls and jobs without a tenant are not compared.
func (s *Scheduler) Cancel(id, tenant string, stored func(error)) error {
	j := s.jobs[id]
	if j == nil || j.unsubmitted || j.isOtherTenant(tenant) {
		return ErrUnknown
	}
	if j.phase.final() {
		if j.storedPhase.final() {
			stored(nil)
		} else {
			s.replies = append(s.replies, reply{j, stored})
		}
		return nil
	}
	s.finishJob(j, Cancelled)
	s.replies = append(s.replies, reply{j, stored})
	return nil
}

// HasJob reports whether a job with this ID was accepted, or cancelled before that, and has not been dropped
// after its retention.
func (s *Scheduler) HasJob(id string) bool { return s.jobs[id] != nil }

// Phase returns the stored phase of a job, or Queued for a deposited job without a stored
// record. It returns ErrUnknown for a job that does not exist, belongs to another queue
// or tenant, or is not stored yet. Calls and jobs without a tenant are not compared.
func (s *Scheduler) Phase(id, queue, tenant string) (Phase, error) {
	j := s.jobs[id]
	switch {
	case j == nil || j.unsubmitted || j.spec.Queue.Name != queue || j.isOtherTenant(tenant) || j.storedPhase == "" && !j.deposited:
		return "", ErrUnknown
	case j.storedPhase == "":
		return Queued, nil
	default:
		return j.storedPhase, nil
	}
}

// Pending returns the number of jobs of a queue that have not started.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for j := range s.active {
		if j.spec.Queue.Name == queue && j.phase == Queued {
			n++
		}
	}
	return n
}

// Counts returns the number of jobs that have not started, the number of jobs that have
// not ended, the number of workers that do not answer, and the number of long-running
// tasks that were without a run at the last check of a Sweep.
func (s *Scheduler) Counts() (queued, active, silent, waiting int) {
	for j := range s.active {
		if j.phase == Queued {
			queued++
		}
	}
	for _, w := range s.workers {
		if w.silentSince != 0 {
			silent++
		}
	}
	return queued, len(s.active), silent, s.waits.withoutRun
}

// DropUnsent drops the jobs that were never part of a batch, during an outage of the store,
// and passes the error to the callers that submitted them: these jobs have not run and
// won't. Deposited jobs are kept.
func (s *Scheduler) DropUnsent(err error) {
	kept := s.replies[:0]
	for _, r := range s.replies {
		if r.job.sent || r.job.storedPhase != "" || r.job.deposited {
			kept = append(kept, r)
			continue
		}
		s.removeUnsent(r.job)
		r.notify(err)
	}
	s.replies = kept
}

// removeUnsent removes a job that was never part of a batch, so that neither its record
// nor an order about it was sent.
func (s *Scheduler) removeUnsent(j *job) {
	j.eachTask(func(t *task) { s.release(t) })
	s.forget(j)
	delete(s.active, j)
	delete(s.dirty, j)
	s.orders = slices.DeleteFunc(s.orders, func(o Order) bool { return o.Task.Job == j.spec.ID })
}
