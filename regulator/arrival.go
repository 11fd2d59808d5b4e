package regulator

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

// Arrival is a number of tasks that become ready to be started after a time.
type Arrival struct {
	In    clock.Millis
	Tasks int
}

// backlogTime returns the time after which all tasks that are ready have been started at a rate per
// second, with those that become ready until then. Tasks that become ready after the leader has caught
// up do not count: they keep nobody waiting.
func backlogTime(as []Arrival, rate float64) clock.Millis {
	slices.SortFunc(as, func(a, b Arrival) int { return cmp.Compare(a.In, b.In) })
	tasks, length := 0, clock.Millis(0)
	for _, a := range as {
		if a.In > length {
			break
		}
		tasks += a.Tasks
		length = clock.Millis(float64(tasks) / rate * float64(clock.Second))
	}
	return length
}
