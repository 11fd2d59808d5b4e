package scheduler

import (
	"slices"

	"github.com/pkg/errors"
)

// Submit accepts a job. It calls stored with nil when the acceptance is stored, at once
// if the job was accepted before, or with the error that Refuse was called with. It
// returns ErrConflict or ErrInvalid.
func (s *Scheduler) Submit(spec Spec, stored func(error)) error {
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

// Adopt accepts a job that was deposited in the store. Callers see it at once. It calls
// stored when the job's own record is stored. It returns ErrConflict or ErrInvalid.
func (s *Scheduler) Adopt(spec Spec, stored func(error)) error {
	j, err := s.accept(spec)
	if err != nil {
		return err
	}
	j.deposited = true
	if j.storedPhase != "" {
		stored(nil)
	} else {
		s.replies = append(s.replies, reply{j, stored})
	}
	return nil
}

// accept returns the job of a submission, which it creates if it is new. It returns
// ErrConflict or ErrInvalid.
func (s *Scheduler) accept(spec Spec) (*job, error) {
	if j := s.jobs[spec.ID]; j != nil {
		if j.spec.Queue.Name != spec.Queue.Name {
			return nil, ErrConflict
		}
		return j, nil
	}
	if err := spec.Validate(); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	j := &job{spec: spec, phase: Queued, acceptedAt: s.wall(), occurrences: map[int]*occurrence{}}
	s.jobs[spec.ID] = j
	s.active[j] = struct{}{}
	s.markDirty(j)
	s.recordWork(j)
	s.openDueOccurrences(j)
	return j, nil
}

// Cancel ends a job. It calls stored with nil when that is stored. It returns ErrUnknown.
func (s *Scheduler) Cancel(id string, stored func(error)) error {
	j := s.jobs[id]
	if j == nil {
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

// Knows reports whether a job with this ID was submitted.
func (s *Scheduler) Knows(id string) bool { return s.jobs[id] != nil }

// Phase returns the stored phase of a job. It returns ErrUnknown if there is none.
func (s *Scheduler) Phase(id, queue string) (Phase, error) {
	j := s.jobs[id]
	switch {
	case j == nil || j.spec.Queue.Name != queue || j.storedPhase == "" && !j.deposited:
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

// Census returns the number of jobs that have not started, the number that have not
// ended, and the number of workers that do not answer.
func (s *Scheduler) Census() (queued, active, silent int) {
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
	return queued, len(s.active), silent
}

// Refuse drops the jobs that were never sent to the store and notifies their callers with
// the error: these jobs have not run and won't. Deposited jobs are kept.
func (s *Scheduler) Refuse(err error) {
	kept := s.replies[:0]
	for _, r := range s.replies {
		if r.job.sent || r.job.storedPhase != "" || r.job.deposited {
			kept = append(kept, r)
			continue
		}
		s.drop(r.job)
		r.notify(err)
	}
	s.replies = kept
}

// drop removes a job of which nothing was sent anywhere.
func (s *Scheduler) drop(j *job) {
	j.eachTask(func(t *task) { s.release(t) })
	delete(s.jobs, j.spec.ID)
	delete(s.active, j)
	delete(s.dirty, j)
	s.orders = slices.DeleteFunc(s.orders, func(o Order) bool { return o.Task.Job == j.spec.ID })
}
