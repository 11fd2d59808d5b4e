package forecaster

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

// splitDays splits [from, until) at midnight into one span for each day.
func (h *history) splitDays(from, until clock.Millis) []span {
	var spans []span
	for at := from; at < until; {
		start := meter.StartOfDay(at, h.zone)
		next := min(until, pricer.NextDay(at, h.zone))
		spans = append(spans, span{dayStart: start, from: at, until: next})
		at = next
	}
	return spans
}

// project calls visit with the expected reservations of each workload in a span, unless they
// are zero. In a forecast, batch jobs are limited to the quota of their team.
func (m *model) project(s span, visit func(w *workload, v vector)) {
	expected := make([]vector, len(m.workloads))
	for n, w := range m.workloads {
		expected[n] = w.expectedIn(s)
	}
	if m.isForecast {
		m.applyQuotas(s, expected)
	}
	for n, w := range m.workloads {
		if !expected[n].isZero() {
			visit(w, expected[n])
		}
	}
}

// applyQuotas scales the batch jobs of each team down to the part of its quota that its
// long-running workloads leave.
func (m *model) applyQuotas(s span, expected []vector) {
	longRunning, batch := map[string]vector{}, map[string]vector{}
	for n, w := range m.workloads {
		if w.kind == declarer.KindBatchJob {
			batch[w.team] = batch[w.team].add(expected[n])
		} else {
			longRunning[w.team] = longRunning[w.team].add(expected[n])
		}
	}
	for n, w := range m.workloads {
		t, declared := m.state.Team(w.team)
		if !declared || w.kind != declarer.KindBatchJob {
			continue
		}
		quota := reservationRate(t.Quota.Size()).scale(s.length())
		expected[n] = expected[n].scale(quotaShare(quota, longRunning[w.team], batch[w.team]))
	}
}

// quotaShare returns the share of the batch reservations that fits into a quota. Resources
// with a quota of 0 are not limited.
func quotaShare(quota, longRunning, batch vector) float64 {
	share := 1.0
	for r := range quota {
		if quota[r] > 0 && batch[r] > 0 {
			share = min(share, max(0, (quota[r]-longRunning[r])/batch[r]))
		}
	}
	return share
}

// amounts returns the amounts for expected reservations of v. The task time of long-running
// workloads follows from their declared size. That of batch jobs is estimated from recent
// usage, and from the declaration if there is none.
func (w *workload) amounts(v vector) meter.Amounts {
	a := w.history.amounts(v)
	if w.kind != declarer.KindBatchJob {
		a[meter.TaskMillis] = taskTime(v, w.taskRate)
		return a
	}
	if w.history.recentSums[meter.ReservedProcessors] > 0 {
		a[meter.TaskMillis] = roundInt(float64(a[meter.TaskMillis]) / w.sizeFactor)
		a[meter.Runs] = roundInt(float64(a[meter.Runs]) / w.sizeFactor / w.timeFactor)
		return a
	}
	a[meter.TaskMillis] = taskTime(v, w.taskRate)
	if w.batch.RunTime > 0 {
		a[meter.Runs] = a[meter.TaskMillis] / int64(w.batch.RunTime)
	}
	return a
}

// taskTime returns for how many milliseconds one task must run to reserve v.
func taskTime(v, taskRate vector) int64 {
	if taskRate[pricer.Processors] == 0 {
		return 0
	}
	return roundInt(v[pricer.Processors] / taskRate[pricer.Processors])
}
