package scheduler

import (
	"slices"

	"github.com/pkg/errors"
)

// Submit accepts a job. stored is called with nil when the acceptance is stored, at
// once for a job that was accepted before, or with the error of Refuse. The error is
// ErrConflict or ErrInvalid.
func (s *Scheduler) Submit(spec Spec, stored func(error)) error {
	j, err := s.accept(spec)
	if err != nil {
		return err
	}
	if j.stored != "" || j.deposited {
		stored(nil)
	} else {
		s.replies = append(s.replies, reply{j, stored})
	}
	return nil
}

// Adopt takes in a job that was accepted through the store. It is known at once. stored
// is called when the job's own record is stored. The error is ErrConflict or ErrInvalid.
func (s *Scheduler) Adopt(spec Spec, stored func(error)) error {
	j, err := s.accept(spec)
	if err != nil {
		return err
	}
	j.deposited = true
	if j.stored != "" {
		stored(nil)
	} else {
		s.replies = append(s.replies, reply{j, stored})
	}
	return nil
}

// accept returns the job of a submission, which it takes in if it is new. The error is
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
	j := &job{spec: spec, phase: Queued, accepted: s.wall(), occurrences: map[int]*occurrence{}}
	s.jobs[spec.ID] = j
	s.active[j] = struct{}{}
	s.touch(j)
	s.noteWork(j)
	s.openDue(j)
	return j, nil
}

// Cancel ends a job. stored is called with nil when that is stored. The error is
// ErrUnknown.
func (s *Scheduler) Cancel(id string, stored func(error)) error {
	j := s.jobs[id]
	if j == nil {
		return ErrUnknown
	}
	if j.phase.final() {
		if j.stored.final() {
			stored(nil)
		} else {
			s.replies = append(s.replies, reply{j, stored})
		}
		return nil
	}
	s.finish(j, Cancelled)
	s.replies = append(s.replies, reply{j, stored})
	return nil
}

// Knows reports whether a job of this id was submitted.
func (s *Scheduler) Knows(id string) bool { return s.jobs[id] != nil }

// Phase returns the stored phase of a job. The error is ErrUnknown.
func (s *Scheduler) Phase(id, queue string) (Phase, error) {
	j := s.jobs[id]
	switch {
	case j == nil || j.spec.Queue.Name != queue || j.stored == "" && !j.deposited:
		return "", ErrUnknown
	case j.stored == "":
		return Queued, nil
	default:
		return j.stored, nil
	}
}

// Pending returns how many stored jobs of a queue have not begun.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for j := range s.active {
		if j.spec.Queue.Name == queue && j.phase == Queued {
			n++
		}
	}
	return n
}

// Census returns how many jobs have not begun, how many have not ended, and how many
// workers do not answer.
func (s *Scheduler) Census() (queued, active, silent int) {
	for j := range s.active {
		if j.phase == Queued {
			queued++
		}
	}
	for _, w := range s.workers {
		if w.silent != 0 {
			silent++
		}
	}
	return queued, len(s.active), silent
}

// Refuse drops the jobs that were never sent to the store and tells their callers the
// error: they have not run and will not. Jobs that were accepted through the store stay.
func (s *Scheduler) Refuse(err error) {
	kept := s.replies[:0]
	for _, r := range s.replies {
		if r.job.sent || r.job.stored != "" || r.job.deposited {
			kept = append(kept, r)
			continue
		}
		s.drop(r.job)
		r.tell(err)
	}
	s.replies = kept
}

// drop forgets a job of which nothing was sent anywhere.
func (s *Scheduler) drop(j *job) {
	j.eachTask(func(t *task) { s.release(t) })
	delete(s.jobs, j.spec.ID)
	delete(s.active, j)
	delete(s.dirty, j)
	s.orders = slices.DeleteFunc(s.orders, func(o Order) bool { return o.Task.Job == j.spec.ID })
}
