package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// RoomState is how much room large tasks wait for, and how good the forecasts are that reservations of
// it rely on.
type RoomState struct {
	// Waiting is the number of tasks that wait for room, Reserved that of the workers kept for them.
	Waiting, Reserved int
	// LongestWait is the longest wait of a ready task that ends by itself, whatever it waits for.
	LongestWait clock.Millis
	// Fragmented is the free room of available workers on which none of these tasks fits.
	Fragmented sizer.Size
	// ForecastRatio is the mean ratio of actual to forecast run times, ForecastLate the share of runs
	// that end after their forecast; 0 before the first run has ended.
	ForecastRatio, ForecastLate float64
}

// RoomState returns the state after the last round of placing.
func (s *Scheduler) RoomState() RoomState {
	p := &s.packing
	r := RoomState{Waiting: len(p.waiting), Reserved: len(p.reservations), LongestWait: s.finiteWaits.longest, ForecastRatio: s.runTimes.ratio, ForecastLate: s.runTimes.late}
	if r.Waiting == 0 {
		return r
	}
	now := s.now()
	for _, w := range s.workers {
		z := p.pools[w.info.Service]
		if z == nil || s.unavailability(w, now) != notExcluded {
			continue
		}
		free := w.free()
		if slices.ContainsFunc(z.smallest, func(o sizer.Size) bool { return o.Fits(free) }) {
			continue
		}
		r.Fragmented = r.Fragmented.Add(sizer.New(max(free.Millicores(), 0), max(free.MemoryBytes(), 0), max(free.Accelerators(), 0)))
	}
	return r
}
