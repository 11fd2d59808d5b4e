package runner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/scheduler"
)

// TermOf returns the conductor's term of an election.
func TermOf(t elector.Term) conductor.Term {
	n := conductor.Term{
		Epoch: t.Epoch, PredecessorStopped: t.PredecessorStopped, LastRenewal: t.LastRenewal,
		Relay: t.Relay, PredecessorRenewal: t.Predecessor.Time, PredecessorResigned: t.Predecessor.Resigned,
		PredecessorClocksAt: t.Predecessor.Sighting.Time,
		LeaveClocks: func(takenAt clock.Millis, rs []scheduler.ClockReading) {
			s := elector.Sighting{Time: takenAt}
			for i, r := range rs[:min(len(rs), len(s.Clocks))] {
				s.Clocks[i] = elector.ClockReading(r)
			}
			t.SetSighting(s)
		},
	}
	for _, r := range t.Predecessor.Sighting.Clocks {
		if r.Worker != "" {
			n.PredecessorClocks = append(n.PredecessorClocks, scheduler.ClockReading(r))
		}
	}
	return n
}
