package forecaster

import (
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

// rescale makes batch jobs hold as much more or less as they declare than
// before.
func (m *model) rescale(before *declarer.State) {
	for _, w := range m.works {
		old, known := before.BatchJob(w.name)
		if w.kind != declarer.KindBatchJob || !known || len(w.past.held) == 0 {
			continue
		}
		was, is := declaredRun(old), declaredRun(w.batch)
		var factor vector
		for r := range factor {
			factor[r] = ratio(is[r], was[r])
		}
		w.sizeFactor = ratio(w.unit[pricer.Processors], float64(old.Size.Processors))
		w.timeFactor = ratio(float64(w.batch.RunTime), float64(old.RunTime))
		expect := w.expect
		w.expect = func(s span) vector { return expect(s).scaled(factor) }
	}
}

func ratio(is, was float64) float64 {
	if was <= 0 {
		return 1
	}
	return is / was
}
