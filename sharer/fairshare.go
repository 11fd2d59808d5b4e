package sharer

import (
	"math"

	"galenawharf.example/galenawharf/sizer"
)

const (
	// weightUnit is the number of internal units in a weight of 1. Sums of whole units are exact
	// in any order, so that they don't drift as teams come and go.
	weightUnit = 1_000_000
	// maxWeight bounds a weight so that the sum over many teams can't overflow.
	maxWeight = 1_000_000_000
	// roundingError is more than the rounding errors of a fair share in tasks, and less than a task.
	roundingError = 1e-6
)

// SetWeight sets the weight of a team, by which it has a fair share of the room. A weight below a
// millionth, also one of 0 or less, counts as a millionth: such a team is beyond its fair share as
// soon as it holds anything while others hold or wait for something.
func (s *Sharer) SetWeight(team string, weight float64) {
	w := int64(1)
	if weight*weightUnit > 1 {
		w = int64(math.Round(min(weight, maxWeight) * weightUnit))
	}
	s.update(team, func(a *account) { a.weight = w })
}

// ClearWeight removes the weight of a team, which then has no fair share.
func (s *Sharer) ClearWeight(team string) { s.update(team, func(a *account) { a.weight = 0 }) }

// SetRoom sets the resources of which the teams have shares: all that is available, held or not.
func (s *Sharer) SetRoom(room sizer.Size) { s.room = room }

// SetWaiting sets whether a team waits for resources.
func (s *Sharer) SetWaiting(team string, waiting bool) {
	s.update(team, func(a *account) { a.waiting = waiting })
}

// Share returns the dominant share of a team, the largest fraction of the room that it holds of any
// resource, as a multiple of its fair share: its weight divided by the sum of the weights of the
// teams that hold or wait for something. It is 0 for a team without a weight.
func (s *Sharer) Share(team string) float64 {
	a := s.teams[team]
	if a == nil || a.weight == 0 {
		return 0
	}
	return a.shareOf(s.room) / s.fairShare(a)
}

// StartsWithin returns how many of n tasks of a size may start until their team would hold more than
// its fair share. A team that holds nothing may start one, so that one whose fair share is smaller
// than a task gets a turn. It is n for a team without a weight.
func (s *Sharer) StartsWithin(team string, size sizer.Size, n int) int {
	a := s.teams[team]
	if a == nil || a.weight == 0 {
		return n
	}
	fair, least := s.fairShare(a), 0
	if a.held.IsZero() {
		least = 1
	}
	starts := min(
		startsUpTo(fair, a.held.Millicores(), size.Millicores(), s.room.Millicores()),
		startsUpTo(fair, a.held.MemoryBytes(), size.MemoryBytes(), s.room.MemoryBytes()),
		startsUpTo(fair, a.held.Accelerators(), size.Accelerators(), s.room.Accelerators()))
	return min(n, max(starts, least))
}

// fairShare returns the fair share of a team with a weight. A team that neither holds nor waits for
// anything counts as if it did.
func (s *Sharer) fairShare(a *account) float64 {
	sum := s.activeWeight
	if !a.active() {
		sum += a.weight
	}
	return float64(a.weight) / float64(sum)
}

// update changes the account of a team, and with it the sum of the weights of active teams.
func (s *Sharer) update(team string, change func(*account)) {
	a := s.account(team)
	if a.active() {
		s.activeWeight -= a.weight
	}
	change(a)
	if a.active() {
		s.activeWeight += a.weight
	}
}

// active reports whether a team holds or waits for something.
func (a *account) active() bool { return a.waiting || !a.held.IsZero() }

// shareOf returns the largest held fraction of size over all resources.
func (a *account) shareOf(size sizer.Size) float64 {
	return max(
		ratio(a.held.Millicores(), size.Millicores()),
		ratio(a.held.MemoryBytes(), size.MemoryBytes()),
		ratio(a.held.Accelerators(), size.Accelerators()),
	)
}

// startsUpTo returns how many starts of a size there can be until more than a share of the room is
// held.
func startsUpTo(share float64, held, size, room int64) int {
	free := (share*float64(max(room, 0))-float64(max(held, 0)))/float64(max(size, 1)) + roundingError
	switch {
	case free < 0:
		return 0
	case size <= 0:
		return math.MaxInt
	default:
		return int(min(free, math.MaxInt32))
	}
}
