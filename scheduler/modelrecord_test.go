package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestModelRecordRoundTrip checks that a new leader continues with the models of the
// former one: their weights, their evidence and the selected period.
func TestModelRecordRoundTrip(t *testing.T) {
	a, b := newHarness(0), newHarness(0)
	m := a.sensitivityOf("s")
	for range 100 {
		m.update(newBaseline(a.periodSelector), a.clock.Now(), 1.2, map[string]float64{"f": 0.1})
	}
	a.periodSelector.errorScores[3] -= 50
	a.periodSelector.selectBest()
	record, err := a.encodeModels()
	must.NoError(t, err)
	must.NoError(t, b.Load(modelKey, record, 0))
	must.True(t, m.harmful("f"))
	must.Eq(t, m.weight("f"), b.sensitivityOf("s").weight("f"))
	must.Eq(t, 3, b.periodSelector.best)
	must.Error(t, b.Load(modelKey, []byte("{"), 0))
}
