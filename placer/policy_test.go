package placer

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/learner"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// policy is a placement policy, shown as one row of the table of TestTable.
	policy struct {
		name     string
		firstFit bool
		oracle   bool
		options  []Option
	}
)

// policies returns the policies to compare: first fit, all mechanisms on, an oracle that
// uses the true values of the simulation and avoids faulty hosts, and each mechanism
// switched off.
func policies() []policy {
	out := []policy{{name: "naive", firstFit: true}, {name: "all on"}, {name: "oracle", oracle: true}}
	for i := range mechanismNames {
		m := Mechanism(1 << i)
		out = append(out, policy{name: "no " + m.String(), options: []Option{Without(m)}})
	}
	return out
}

// placerFor returns the Placer of one data centre.
func (w *simulation) placerFor(t testing.TB, p policy) *Placer {
	t.Helper()
	opts := append([]Option{}, p.options...)
	if p.oracle {
		opts = append(opts, w.withTrueValues())
	}
	pl, err := New(opts...)
	must.NoError(t, err)
	for c, n := range classNames {
		must.Eq(t, c, pl.learner.Class(n))
	}
	return pl
}

// withTrueValues replaces the estimates of a Placer by the true values of the simulation.
func (w *simulation) withTrueValues() Option {
	return func(p *Placer) {
		p.effect = func(victim, aggressor int, load float64) learner.Effect {
			return learner.NewEffect(w.trueEffects[victim][aggressor]*loadFactor(load), 0)
		}
		p.grant = func(_ clock.Millis, t Task) sizer.Size {
			j := w.tasks[t.id]
			if t.kind == Service || j == nil {
				return t.size
			}
			return sizer.New(int64(j.cores*1000), j.memory, 0)
		}
		p.runTime = func(_ clock.Millis, t Task) clock.Millis {
			if j := w.tasks[t.id]; j != nil && t.kind != Service {
				return clock.Millis(j.workNeeded - j.workDone)
			}
			return t.runTime
		}
	}
}
