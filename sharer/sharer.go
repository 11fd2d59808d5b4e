// Package sharer decides whose turn it is: it keeps what each team holds
// against its quota, and orders waiting work by tier, urgency and fair share.
package sharer

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Sharer keeps what teams hold. It is used by one goroutine.
	Sharer struct {
		teams     map[string]*account
		ageStep   clock.Millis
		lead      clock.Millis
		borrowing bool
		jobOrder  bool
	}

	// Option sets up a Sharer.
	Option func(*Sharer)

	account struct {
		quota   sizer.Size
		limited bool
		held    sizer.Size
	}
)

const (
	defaultAgeStep = 2 * clock.Minute
	defaultLead    = 30 * clock.Minute
)

// New gives a Sharer that knows no team.
func New(opts ...Option) (*Sharer, error) {
	s := &Sharer{teams: map[string]*account{}, ageStep: defaultAgeStep, lead: defaultLead, jobOrder: true}
	for _, o := range opts {
		o(s)
	}
	if s.ageStep < 1 || s.lead < 1 {
		return nil, errors.New("sharer.New: the age step and the lead must be at least 1 ms")
	}
	return s, nil
}

// WithAgeStep sets how long a wait raises the priority by one.
func WithAgeStep(d clock.Millis) Option { return func(s *Sharer) { s.ageStep = d } }

// WithLead sets how long before the latest start a deadline begins to raise
// the priority.
func WithLead(d clock.Millis) Option { return func(s *Sharer) { s.lead = d } }

// WithBorrowing lets batch tasks over their team's quota use idle room after
// all others had their turn.
func WithBorrowing() Option { return func(s *Sharer) { s.borrowing = true } }

// WithoutJobOrder leaves the remaining work of jobs out of the order.
func WithoutJobOrder() Option { return func(s *Sharer) { s.jobOrder = false } }

// SetQuota sets the most that a team may hold.
func (s *Sharer) SetQuota(team string, quota sizer.Size) {
	a := s.account(team)
	a.quota = quota
	a.limited = true
}

// ClearQuota lets a team hold any amount.
func (s *Sharer) ClearQuota(team string) { s.account(team).limited = false }

// Hold counts size as held by a team.
func (s *Sharer) Hold(team string, size sizer.Size) {
	a := s.account(team)
	a.held = a.held.Add(size)
}

// Release counts size as no longer held by a team.
func (s *Sharer) Release(team string, size sizer.Size) {
	a := s.account(team)
	a.held = a.held.Sub(size)
}

// Held gives what a team holds.
func (s *Sharer) Held(team string) sizer.Size { return s.account(team).held }

// Admits tells whether a team may hold size more within its quota.
func (s *Sharer) Admits(team string, size sizer.Size) bool {
	a := s.account(team)
	return !a.limited || a.held.Add(size).Fits(a.quota)
}

// Borrows tells whether a team holds more than its quota.
func (s *Sharer) Borrows(team string) bool {
	a := s.account(team)
	return a.limited && !a.held.Fits(a.quota)
}

// Share gives the largest part of its quota, over the resources, that a team
// holds; 0 for a team without one.
func (s *Sharer) Share(team string) float64 { return s.account(team).share() }

func (s *Sharer) account(team string) *account {
	a := s.teams[team]
	if a == nil {
		a = &account{}
		s.teams[team] = a
	}
	return a
}

func (a *account) share() float64 {
	if !a.limited {
		return 0
	}
	return max(
		ratio(a.held.Millicores(), a.quota.Millicores()),
		ratio(a.held.MemoryBytes(), a.quota.MemoryBytes()),
		ratio(a.held.Accelerators(), a.quota.Accelerators()),
	)
}

func ratio(held, quota int64) float64 {
	if held <= 0 {
		return 0
	}
	return float64(held) / float64(max(quota, 1))
}
