package forecaster

import (
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

// rescale multiplies the expected reservations of batch jobs that have run by the ratio of
// the amounts that they declare to those that they declared in the state before.
func (m *model) rescale(before *declarer.State) {
	for _, w := range m.workloads {
		old, known := before.BatchJob(w.name)
		if w.kind != declarer.KindBatchJob || !known || len(w.history.reserved) == 0 {
			continue
		}
		oldRun, newRun := declaredRun(old), declaredRun(w.batch)
		var factor vector
		for r := range factor {
			factor[r] = ratio(newRun[r], oldRun[r])
		}
		w.sizeFactor = ratio(w.taskRate[pricer.Processors], float64(old.Size.Processors))
		w.timeFactor = ratio(float64(w.batch.RunTime), float64(old.RunTime))
		expect := w.expectedIn
		w.expectedIn = func(s span) vector { return expect(s).mul(factor) }
	}
}

// ratio returns after divided by before, 1 if before is not positive.
func ratio(after, before float64) float64 {
	if before <= 0 {
		return 1
	}
	return after / before
}
