package forecaster

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

// The shares of data centres are computed from this number of last known days.
const (
	longRunningWindowDays = 7
	batchWindowDays       = 42
)

// dataCentreShares returns the share of each data centre in the processors that a workload
// reserved over the last known days. In a forecast the shares of drained data centres go to
// the others in proportion. A workload without reservations on these days, or with
// reservations in drained data centres only, is spread by evenShares.
func (m *model) dataCentreShares(w *workload) map[string]float64 {
	days := longRunningWindowDays
	if w.kind == declarer.KindBatchJob {
		days = batchWindowDays
	}
	shares := map[string]float64{}
	total := 0.0
	for _, dc := range slices.Sorted(maps.Keys(w.history.reserved)) {
		reserved := w.history.reserved[dc]
		for d := max(0, m.knownDays-days); d < m.knownDays; d++ {
			shares[dc] += float64(reserved[d][pricer.Processors])
			total += float64(reserved[d][pricer.Processors])
		}
	}
	if m.isForecast {
		total = m.removeDrained(shares, total)
	}
	if total <= 0 {
		return m.evenShares()
	}
	for dc := range shares {
		shares[dc] /= total
	}
	return shares
}

// removeDrained deletes the drained data centres from shares and returns the total without
// them.
func (m *model) removeDrained(shares map[string]float64, total float64) float64 {
	for _, dc := range slices.Sorted(maps.Keys(shares)) {
		if m.state.DataCentreDrained(dc) {
			total -= shares[dc]
			delete(shares, dc)
		}
	}
	return total
}

// evenShares returns equal shares of all data centres that are not drained now.
func (m *model) evenShares() map[string]float64 {
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
