package forecaster

import (
	"fmt"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

type (
	// calendarKey tells calendars apart.
	calendarKey struct {
		every declarer.Every
		day   int
		hour  int
		terms string
	}
)

// occurrences gives the times before end, within the history, at which a
// calendar let its job run. Those of each calendar are worked out once.
func (h *history) occurrences(c declarer.Calendar, end clock.Millis) []clock.Millis {
	k := calendarKey{every: c.Every, day: c.Day, hour: c.Hour}
	if len(c.Terms) > 0 {
		k.terms = fmt.Sprint(c.Terms)
	}
	times, known := h.runs[k]
	if !known {
		times = c.Occurrences(h.days[0], h.until, h.zone)
		h.runs[k] = times
	}
	n, _ := slices.BinarySearch(times, end)
	return times[:n]
}
