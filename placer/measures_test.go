package placer

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// measures gathers what came of a run after the warm-up.
	measures struct {
		latencies    []float64
		within       int
		urgent       []float64
		jobTimes     []float64
		finished     int
		useful       float64
		usefulDuring float64
		spent        float64
		lost         float64
		evictions    int
		failures     int
		killed       int
		dropped      int
		parked       int
		over         int
		running      int
		seen         int
	}

	// figures are those of one run, in the units of the table.
	figures struct {
		p50, p99, p999 float64
		within         float64
		finished       float64
		coreHours      float64
		during         float64
		useful         float64
		evictions      float64
		killed         float64
		lost           float64
		urgent         float64
		jobTime        float64
		dropped        float64
		parked         float64
	}
)

// granted notes a host that was granted more than it holds.
func (m *measures) granted(h *host) {
	sum := h.capacity
	for _, j := range h.residents {
		sum = sum.Sub(j.task.size)
	}
	if sum.IsNegative() {
		m.over++
	}
}

func (m *measures) figures() figures {
	slices.Sort(m.latencies)
	slices.Sort(m.urgent)
	hours := float64(runs-warmUp) / float64(clock.Hour)
	coreHour := float64(clock.Hour)
	return figures{
		p50: at(m.latencies, 0.5), p99: at(m.latencies, 0.99), p999: at(m.latencies, 0.999),
		within:    100 * float64(m.within) / math.Max(float64(len(m.latencies)), 1),
		finished:  float64(m.finished) / hours,
		coreHours: m.useful / coreHour / hours,
		during:    m.usefulDuring / coreHour,
		useful:    100 * m.useful / math.Max(m.spent, 1),
		evictions: float64(m.evictions),
		killed:    float64(m.killed),
		lost:      m.lost / coreHour,
		urgent:    at(m.urgent, 0.99) / float64(clock.Second),
		jobTime:   mean(m.jobTimes) / float64(clock.Minute),
		dropped:   float64(m.dropped),
		parked:    float64(m.parked),
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(float64(len(values)), 1)
}

func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// columns are the figures of a table's row by name.
func (f figures) columns() []column {
	return []column{
		{"p50 ms", f.p50}, {"p99 ms", f.p99}, {"p99.9 ms", f.p999}, {"within %", f.within},
		{"tasks/h", f.finished}, {"core-h/h", f.coreHours}, {"core-h during", f.during}, {"useful %", f.useful},
		{"evictions", f.evictions}, {"killed", f.killed}, {"lost core-h", f.lost}, {"urgent p99 s", f.urgent}, {"job min", f.jobTime}, {"dropped", f.dropped}, {"parked", f.parked},
	}
}

type column struct {
	name  string
	value float64
}
