package runner

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/platform"
	"galenawharf.example/galenawharf/scheduler"
)

// waveTimes has the time at which this host first read each requested wave, by ID. A leader that
// takes over late in a wave counts its time limit from there.
type waveTimes map[string]clock.Millis

// stamp sets SeenAt of the waves that were read now, and forgets those that are no longer requested.
func (t waveTimes) stamp(ws []scheduler.Wave, now clock.Millis) {
	requested := make(map[string]bool, len(ws))
	for i := range ws {
		w := &ws[i]
		requested[w.ID] = true
		if _, ok := t[w.ID]; !ok {
			t[w.ID] = now
		}
		w.SeenAt = t[w.ID]
	}
	for id := range t {
		if !requested[id] {
			delete(t, id)
		}
	}
}

// keepFormer returns the waves that were read, and the former ones whose records are invalid now: a wave
// in progress is not withdrawn because another writer has replaced its record.
func keepFormer(ws, former []scheduler.Wave, invalid []string) []scheduler.Wave {
	for _, w := range former {
		if slices.Contains(invalid, platform.WaveKey(w.ID)) {
			ws = append(ws, w)
		}
	}
	return ws
}
