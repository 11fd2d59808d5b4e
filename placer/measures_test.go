package placer

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// measures collects the results of a simulation after the warm-up. Times and latencies
	// are in milliseconds, work is in core-milliseconds.
	measures struct {
		latencies    []float64
		withinTarget int
		// urgent lists the waits of urgent tasks until they started.
		urgent   []float64
		jobTimes []float64
		finished int
		// useful is the work of batch tasks that was not lost, spent is the time during
		// which they occupied cores, lost is the work that was not saved when they stopped.
		useful        float64
		usefulInPhase float64
		spent         float64
		lost          float64
		evictions     int
		failures      int
		// killed counts the tasks that failed because a host ran out of memory.
		killed int
		// dropped counts the tasks that first fit gave up after maxRetries retries.
		dropped int
		// parked counts the waiting tasks that were dropped because their job was parked.
		parked           int
		overcommits      int
		replicasLastTick int
		replicasThisTick int
	}

	// figures are the results of one simulation in the units of the table; see columns.
	figures struct {
		p50, p99, p999 float64
		withinTarget   float64
		finished       float64
		coreHours      float64
		usefulInPhase  float64
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

// countOvercommit counts a host if its residents were granted more than its capacity.
func (m *measures) countOvercommit(h *host) {
	sum := h.capacity
	for _, j := range h.residents {
		sum = sum.Sub(j.task.size)
	}
	if sum.IsNegative() {
		m.overcommits++
	}
}

func (m *measures) figures() figures {
	slices.Sort(m.latencies)
	slices.Sort(m.urgent)
	hours := float64(runLength-warmUp) / float64(clock.Hour)
	coreHour := float64(clock.Hour)
	return figures{
		p50: quantile(m.latencies, 0.5), p99: quantile(m.latencies, 0.99), p999: quantile(m.latencies, 0.999),
		withinTarget:  100 * float64(m.withinTarget) / math.Max(float64(len(m.latencies)), 1),
		finished:      float64(m.finished) / hours,
		coreHours:     m.useful / coreHour / hours,
		usefulInPhase: m.usefulInPhase / coreHour,
		useful:        100 * m.useful / math.Max(m.spent, 1),
		evictions:     float64(m.evictions),
		killed:        float64(m.killed),
		lost:          m.lost / coreHour,
		urgent:        quantile(m.urgent, 0.99) / float64(clock.Second),
		jobTime:       mean(m.jobTimes) / float64(clock.Minute),
		dropped:       float64(m.dropped),
		parked:        float64(m.parked),
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(float64(len(values)), 1)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// columns returns the figures of a table row with their headings.
func (f figures) columns() []column {
	return []column{
		{"p50 ms", f.p50}, {"p99 ms", f.p99}, {"p99.9 ms", f.p999}, {"within %", f.withinTarget},
		{"tasks/h", f.finished}, {"core-h/h", f.coreHours}, {"core-h during", f.usefulInPhase}, {"useful %", f.useful},
		{"evictions", f.evictions}, {"killed", f.killed}, {"lost core-h", f.lost}, {"urgent p99 s", f.urgent}, {"job min", f.jobTime}, {"dropped", f.dropped}, {"parked", f.parked},
	}
}

type column struct {
	name  string
	value float64
}
