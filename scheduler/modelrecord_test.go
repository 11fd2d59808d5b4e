package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestModelsOfAFormerLeader checks that a new leader knows what the former one learnt.
func TestModelsOfAFormerLeader(t *testing.T) {
	a, b := newBench(0), newBench(0)
	m := a.sensitivityOf("s")
	for range 100 {
		m.learn(newBaseline(a.calendar), a.clock.Now(), 1.2, map[string]float64{"f": 0.1})
	}
	a.calendar.misfits[3] -= 50
	a.calendar.choose()
	record, err := a.encodeModels()
	must.NoError(t, err)
	must.NoError(t, b.Load(modelKey, record, 0))
	must.True(t, m.harmful("f"))
	must.Eq(t, m.weight("f"), b.sensitivityOf("s").weight("f"))
	must.Eq(t, 3, b.calendar.chosen)
	must.Error(t, b.Load(modelKey, []byte("{"), 0))
}
