package placer

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/learner"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// policy is one row of the table.
	policy struct {
		name    string
		naive   bool
		oracle  bool
		options []Option
	}
)

// policies gives the rows: the naive one, each mechanism off, all on, oracle.
func policies() []policy {
	out := []policy{{name: "naive", naive: true}, {name: "all on"}, {name: "oracle", oracle: true}}
	for i := range mechanismNames {
		m := Mechanism(1 << i)
		out = append(out, policy{name: "no " + m.String(), options: []Option{Without(m)}})
	}
	return out
}

// placerFor gives the Placer of one data centre.
func (w *world) placerFor(t testing.TB, p policy) *Placer {
	t.Helper()
	opts := append([]Option{}, p.options...)
	if p.oracle {
		opts = append(opts, w.knowing())
	}
	pl, err := New(opts...)
	must.NoError(t, err)
	for c, n := range classNames {
		must.Eq(t, c, pl.learner.Class(n))
	}
	return pl
}

// knowing sets the seams of a Placer to the truth.
func (w *world) knowing() Option {
	return func(p *Placer) {
		p.effect = func(victim, aggressor int, load float64) learner.Effect {
			return learner.NewEffect(w.truth[victim][aggressor]*growth(load), 0)
		}
		p.grant = func(_ clock.Millis, t Task) sizer.Size {
			j := w.jobs[t.id]
			if t.kind == Service || j == nil {
				return t.size
			}
			return sizer.New(int64(j.cores*1000), j.memory, 0)
		}
		p.runTime = func(_ clock.Millis, t Task) clock.Millis {
			if j := w.jobs[t.id]; j != nil && t.kind != Service {
				return clock.Millis(j.need - j.done)
			}
			return t.runTime
		}
	}
}
