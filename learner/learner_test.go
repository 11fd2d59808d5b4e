package learner

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

func newLearner(t testing.TB, opts ...Option) *Learner {
	t.Helper()
	l, err := New(opts...)
	must.NoError(t, err)
	return l
}

// trueSlowdown returns the slowdown that classes 1 to 3 cause to class 0.
func trueSlowdown(mix []float64, load float64) float64 {
	return mix[1]*(2+2*(load-0.5)) + mix[2]*0.1 + mix[3]*0.8
}

// randomMix returns the processor shares of the classes and the load of the worker.
func randomMix(r *rand.Rand) ([]float64, float64) {
	mix := []float64{0, r.Float64() * 0.4, r.Float64() * 0.4, r.Float64() * 0.2}
	return mix, 0.1 + mix[1] + mix[2] + mix[3]
}

// TestLearnsEffects observes three aggressors that always run together. The estimates must
// match the true effect of each and grow with the load, and the uncertainty must shrink.
func TestLearnsEffects(t *testing.T) {
	for seed := range uint64(5) {
		l := newLearner(t)
		v := l.Class("check")
		for _, c := range []string{"hog", "calm", "middling"} {
			l.Class(c)
		}
		r := rand.New(rand.NewPCG(seed, 1))
		before := l.Effect(v, 1, 0.5).Deviation()
		for i := range 400 {
			mix, load := randomMix(r)
			l.Observe(clock.Millis(i)*clock.Second, v, mix, load, trueSlowdown(mix, load)+r.NormFloat64()*0.1)
		}
		must.Less(t, before/3, l.Effect(v, 1, 0.5).Deviation())
		for c, want := range map[int]float64{1: 2, 2: 0.1, 3: 0.8} {
			e := l.Effect(v, c, 0.5)
			must.Less(t, 4*e.Deviation()+0.05, math.Abs(e.Mean()-want), must.Sprintf("seed %d class %d: %v", seed, c, e))
		}
		must.Greater(t, l.Effect(v, 1, 0.5).Mean(), l.Effect(v, 1, 0.9).Mean())
	}
}

// TestFollowsShift changes the effect of an aggressor from 0 to 2 after 500 observations.
// Without process noise the filter would hardly react to the change.
func TestFollowsShift(t *testing.T) {
	l := newLearner(t)
	v, a := l.Class("check"), l.Class("batch")
	for i := range 1000 {
		effect := 0.0
		if i >= 500 {
			effect = 2
		}
		l.Observe(clock.Millis(i)*10*clock.Second, v, []float64{0, 0.3}, 0.5, 0.3*effect)
	}
	must.Greater(t, 1.5, l.Effect(v, a, 0.5).Mean())
}

// TestLateSampleIsAttributed delivers a service's sample of a span during which a hog task
// ran, when that task has already been replaced by a calm one. The slowdown must be
// attributed to the hog class, not to the class of the current neighbour.
func TestLateSampleIsAttributed(t *testing.T) {
	l := newLearner(t)
	check, hog, calm := l.Class("check"), l.Class("hog"), l.Class("calm")
	l.Started(0, "w", "c", check, 2)
	var now clock.Millis
	for i := range 50 {
		h, q := "h"+strconv.Itoa(i), "q"+strconv.Itoa(i)
		l.Started(now, "w", h, hog, 8)
		now += 10 * clock.Second
		l.Ended(now, "w", h)
		l.Started(now, "w", q, calm, 8)
		s := NewSample("c", now-10*clock.Second, now, 2, 0.5, true)
		now += 10 * clock.Second
		must.Len(t, 1, l.Report(now, "w", 16, []Sample{s, NewSample("unknown", now-1, now, 1, 1, true)}))
		l.Ended(now, "w", q)
		l.Report(now, "w", 16, []Sample{NewSample("c", now-10*clock.Second, now, 2, 1, true)})
	}
	must.Greater(t, 1.5, l.Effect(check, hog, 0.6).Mean())
	must.Less(t, 0.3, l.Effect(check, calm, 0.6).Mean())
	must.Less(t, 70, len(l.timelines["w"].runs))
}

func TestInvalidSlowdownIsIgnored(t *testing.T) {
	l := newLearner(t)
	v, a := l.Class("batch"), l.Class("other")
	l.Started(0, "w", "b", v, 2)
	l.Started(0, "w", "o", a, 2)
	before := l.Effect(v, a, 0.5)
	l.Report(10, "w", 8, []Sample{NewSample("b", 0, 10, 2, 0.25, false)})
	must.Eq(t, before, l.Effect(v, a, 0.5))
}

func TestExcessClassesShareLastNumber(t *testing.T) {
	l := newLearner(t)
	for i := range 3 * MaxClasses {
		must.Less(t, MaxClasses, l.Class(strconv.Itoa(i)))
	}
	must.Eq(t, MaxClasses-1, l.Class("one more"))
}

func BenchmarkObserve(b *testing.B) {
	l := newLearner(b)
	v := l.Class("check")
	r := rand.New(rand.NewPCG(1, 1))
	mix := make([]float64, 12)
	b.ReportAllocs()
	for i := range b.N {
		mix[i%12] = r.Float64() / 12
		l.Observe(clock.Millis(i), v, mix, 0.7, 0.2)
	}
}
