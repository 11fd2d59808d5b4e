package forecaster

import (
	"fmt"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

type (
	// calendarKey is a comparable form of declarer.Calendar, which is not comparable itself.
	// It is used as a map key.
	calendarKey struct {
		every declarer.Every
		day   int
		hour  int
		// terms is Calendar.Terms as text.
		terms string
	}
)

// occurrences returns the times within the history and before end at which a calendar starts
// its job. They are computed once per calendar, for the whole history, and cached.
func (h *history) occurrences(c declarer.Calendar, end clock.Millis) []clock.Millis {
	k := calendarKey{every: c.Every, day: c.Day, hour: c.Hour}
	if len(c.Terms) > 0 {
		k.terms = fmt.Sprint(c.Terms)
	}
	times, known := h.occurrenceCache[k]
	if !known {
		times = c.Occurrences(h.days[0], h.until, h.zone)
		h.occurrenceCache[k] = times
	}
	n, _ := slices.BinarySearch(times, end)
	return times[:n]
}
