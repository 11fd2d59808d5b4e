package forecaster

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

const (
	standingShareDays = 7
	batchShareDays    = 42
)

// sharesOf gives how a work spreads over the data centres: as on its last days,
// with what drained ones had spread over the others. Work without history is
// spread evenly.
func (m *model) sharesOf(w *work) map[string]float64 {
	days := standingShareDays
	if w.kind == declarer.KindBatchJob {
		days = batchShareDays
	}
	shares := map[string]float64{}
	total := 0.0
	for _, dc := range slices.Sorted(maps.Keys(w.past.held)) {
		held := w.past.held[dc]
		for d := max(0, m.known-days); d < m.known; d++ {
			shares[dc] += float64(held[d][pricer.Processors])
			total += float64(held[d][pricer.Processors])
		}
	}
	if m.trusting {
		total = m.withoutDrained(shares, total)
	}
	if total <= 0 {
		return m.evenly()
	}
	for dc := range shares {
		shares[dc] /= total
	}
	return shares
}

func (m *model) withoutDrained(shares map[string]float64, total float64) float64 {
	for _, dc := range slices.Sorted(maps.Keys(shares)) {
		if m.state.DataCentreDrained(dc) {
			total -= shares[dc]
			delete(shares, dc)
		}
	}
	return total
}

func (m *model) evenly() map[string]float64 {
	var names []string
	for _, dc := range m.state.DataCentres() {
		if !m.state.DataCentreDrained(dc.Name) {
			names = append(names, dc.Name)
		}
	}
	shares := map[string]float64{}
	for _, n := range names {
		shares[n] = 1 / float64(len(names))
	}
	return shares
}
