package scheduler

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/logger"
)

// maxEarlyCancels bounds the cancelled jobs that are remembered without their submissions. At about 1 KB each
// they take a small part of the memory of the smallest host.
const maxEarlyCancels = 4096

// ErrTooManyCancels is returned if too many jobs that are not known were cancelled within the retention.
var ErrTooManyCancels = errors.New("too many cancellations of jobs that are not known")

// CancelUnknown remembers that a job was cancelled of which no submission is known, so that one which arrives
// late, such as a deposit that the store carries out after its response was lost, does not start it. Until
// then the job stays unknown to callers. It calls stored with nil once that is stored, or with the error that
// DropUnsent was called with. It returns ErrTooManyCancels if it remembers too many already.
func (s *Scheduler) CancelUnknown(id, tenant string, stored func(error)) error {
	j := s.jobs[id]
	switch {
	case j == nil && s.earlyCancels >= maxEarlyCancels:
		return ErrTooManyCancels
	case j == nil:
		j = &job{
			spec: Spec{ID: id, Tenant: tenant}, phase: Cancelled, unsubmitted: true, occurrences: map[int]*occurrence{},
			acceptedAt: s.wall(), acceptedReading: s.reading(), endedAt: s.wall(), endedReading: s.reading(),
		}
		s.jobs[id] = j
		s.earlyCancels++
		s.markDirty(j)
		s.emit(logger.CancelledEarly, logger.String("id", id))
	case !j.unsubmitted || j.storedPhase != "":
		// The job of another tenant is not the caller's to cancel.
		stored(nil)
		return nil
	}
	s.replies = append(s.replies, reply{j, stored})
	return nil
}

// acceptCancelled accepts the submission of a job that was cancelled before. It has ended and does not start.
func (s *Scheduler) acceptCancelled(j *job, spec Spec) error {
	if j.isOtherTenant(spec.Tenant) {
		return ErrConflict
	}
	if err := spec.Validate(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	s.emit(logger.SubmittedLate, logger.String("id", spec.ID), logger.String("queue", spec.Queue.Name), logger.Int("after-ms", int64(s.ageOf(j))))
	j.spec, j.unsubmitted = spec, false
	s.earlyCancels--
	s.markDirty(j)
	return nil
}
