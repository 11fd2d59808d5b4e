package forecaster

import "galenawharf.example/galenawharf/declarer"

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
			factor[r] = 1
			if was[r] > 0 {
				factor[r] = is[r] / was[r]
			}
		}
		expect := w.expect
		w.expect = func(s span) vector { return expect(s).scaled(factor) }
	}
}
