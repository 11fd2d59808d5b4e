// Package sharer implements quotas and fair sharing between teams. It tracks the resources
// granted to each team, orders waiting tasks by tier, priority and dominant share, and computes
// fair shares by weight.
package sharer

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Sharer tracks the quotas of teams and the resources that they hold, which are those
	// granted to their tasks. It is not safe for concurrent use.
	Sharer struct {
		teams          map[string]*account
		ageStep        clock.Millis
		deadlineWindow clock.Millis
		borrowing      bool
		jobOrder       bool
		// room has the resources of which teams with a weight have a fair share; activeWeight is
		// the sum of the weights of the teams that hold or wait for something.
		room         sizer.Size
		activeWeight int64
	}

	// Option configures a Sharer.
	Option func(*Sharer)

	// account is the quota, the weight and the usage of one team. The quota applies only if
	// limited is set. The weight is in units of 1/weightUnit; 0 is none.
	account struct {
		quota   sizer.Size
		limited bool
		weight  int64
		waiting bool
		held    sizer.Size
	}
)

const (
	// DefaultAgeStep is the waiting time that raises the priority by 1, unless WithAgeStep sets
	// another.
	DefaultAgeStep = 2 * clock.Minute

	defaultDeadlineWindow = 30 * clock.Minute
)

// New returns a Sharer without quotas. It returns an error if a duration is below 1 ms.
func New(opts ...Option) (*Sharer, error) {
	s := &Sharer{teams: map[string]*account{}, ageStep: DefaultAgeStep, deadlineWindow: defaultDeadlineWindow, jobOrder: true}
	for _, o := range opts {
		o(s)
	}
	if s.ageStep < 1 || s.deadlineWindow < 1 {
		return nil, errors.New("sharer.New: the age step and the deadline window must be at least 1 ms")
	}
	return s, nil
}

// WithAgeStep sets the waiting time that raises the priority by 1.
func WithAgeStep(d clock.Millis) Option { return func(s *Sharer) { s.ageStep = d } }

// WithDeadlineWindow sets how long before the latest start that meets its deadline the
// priority of a task begins to rise.
func WithDeadlineWindow(d clock.Millis) Option { return func(s *Sharer) { s.deadlineWindow = d } }

// WithBorrowing admits batch tasks beyond their team's quota, to use idle capacity. Such
// tasks come after services and urgent tasks, and within a priority band after the tasks of
// teams below their quota.
func WithBorrowing() Option { return func(s *Sharer) { s.borrowing = true } }

// WithoutJobOrder disables the order by remaining work of the submission, least first, among
// the tasks of a team in the same priority band.
func WithoutJobOrder() Option { return func(s *Sharer) { s.jobOrder = false } }

// SetQuota sets the quota of a team: the most resources that its tasks may be granted.
func (s *Sharer) SetQuota(team string, quota sizer.Size) {
	a := s.account(team)
	a.quota = quota
	a.limited = true
}

// ClearQuota removes the quota of a team.
func (s *Sharer) ClearQuota(team string) { s.account(team).limited = false }

// Hold adds size to the resources that a team holds.
func (s *Sharer) Hold(team string, size sizer.Size) {
	s.update(team, func(a *account) { a.held = a.held.Add(size) })
}

// Release subtracts size from the resources that a team holds.
func (s *Sharer) Release(team string, size sizer.Size) {
	s.update(team, func(a *account) { a.held = a.held.Sub(size) })
}

// Held returns the resources that a team holds.
func (s *Sharer) Held(team string) sizer.Size { return s.account(team).held }

// Admits reports whether a team stays within its quota if it is granted size more.
func (s *Sharer) Admits(team string, size sizer.Size) bool {
	a := s.account(team)
	return !a.limited || a.held.Add(size).Fits(a.quota)
}

// OverQuota reports whether a team holds more than its quota.
func (s *Sharer) OverQuota(team string) bool {
	a := s.account(team)
	return a.limited && !a.held.Fits(a.quota)
}

// DominantShare returns the dominant share of a team: the largest held fraction of its
// quota over all resources. It is 0 without a quota.
func (s *Sharer) DominantShare(team string) float64 { return s.account(team).dominantShare() }

func (s *Sharer) account(team string) *account {
	a := s.teams[team]
	if a == nil {
		a = &account{}
		s.teams[team] = a
	}
	return a
}

func (a *account) dominantShare() float64 {
	if !a.limited {
		return 0
	}
	return a.shareOf(a.quota)
}

func ratio(held, quota int64) float64 {
	if held <= 0 {
		return 0
	}
	return float64(held) / float64(max(quota, 1))
}
