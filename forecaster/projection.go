package forecaster

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

// spansOf gives the days in [from, until) that are to come.
func (h *history) spansOf(from, until clock.Millis) []span {
	var spans []span
	for at := from; at < until; {
		start := meter.DayOf(at, h.zone)
		next := min(until, pricer.NextDay(at, h.zone))
		spans = append(spans, span{start: start, from: at, until: next})
		at = next
	}
	return spans
}

// project calls visit with what each work is expected to hold in a span. What a
// team's batch jobs would hold above its quota is left out.
func (m *model) project(s span, visit func(w *work, v vector)) {
	expected := make([]vector, len(m.works))
	for n, w := range m.works {
		expected[n] = w.expect(s)
	}
	if m.trusting {
		m.limit(s, expected)
	}
	for n, w := range m.works {
		if !expected[n].isZero() {
			visit(w, expected[n])
		}
	}
}

// limit keeps the batch jobs of each team within what its quota leaves.
func (m *model) limit(s span, expected []vector) {
	standing, batch := map[string]vector{}, map[string]vector{}
	for n, w := range m.works {
		if w.kind == declarer.KindBatchJob {
			batch[w.team] = batch[w.team].plus(expected[n])
		} else {
			standing[w.team] = standing[w.team].plus(expected[n])
		}
	}
	for n, w := range m.works {
		t, declared := m.state.Team(w.team)
		if !declared || w.kind != declarer.KindBatchJob {
			continue
		}
		quota := rateOf(t.Quota.Size()).times(s.length())
		expected[n] = expected[n].times(room(quota, standing[w.team], batch[w.team]))
	}
}

// room gives the share of batch work for which a quota has room; a quota of
// nothing is none.
func room(quota, standing, batch vector) float64 {
	share := 1.0
	for r := range quota {
		if quota[r] > 0 && batch[r] > 0 {
			share = min(share, max(0, (quota[r]-standing[r])/batch[r]))
		}
	}
	return share
}

// amounts gives every amount that goes with what a work is expected to hold.
func (w *work) amounts(v vector) meter.Amounts {
	a := w.past.amounts(v)
	if w.kind != declarer.KindBatchJob {
		a[meter.TaskMillis] = perUnit(v, w.unit)
		return a
	}
	if w.past.sums[meter.ReservedProcessors] > 0 {
		a[meter.TaskMillis] = whole(float64(a[meter.TaskMillis]) / w.sizeFactor)
		a[meter.Runs] = whole(float64(a[meter.Runs]) / w.sizeFactor / w.timeFactor)
		return a
	}
	a[meter.TaskMillis] = perUnit(v, w.unit)
	if w.batch.RunTime > 0 {
		a[meter.Runs] = a[meter.TaskMillis] / int64(w.batch.RunTime)
	}
	return a
}

// perUnit gives the task time in which a task of a size holds v.
func perUnit(v, unit vector) int64 {
	if unit[pricer.Processors] == 0 {
		return 0
	}
	return whole(v[pricer.Processors] / unit[pricer.Processors])
}
