package estimator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

func newEstimator(t *testing.T, opts ...Option) *Estimator {
	t.Helper()
	e, err := New(opts...)
	must.NoError(t, err)
	return e
}

func TestSize(t *testing.T) {
	declared := sizer.New(4000, 8*sizer.GiB, 1)
	tests := map[string]struct {
		seen       int
		cores, mem int64
		min, max   sizer.Size
	}{
		"too few observations": {seen: 3, cores: 1000, mem: sizer.GiB, min: declared, max: declared},
		"declared too much":    {seen: 8, cores: 1000, mem: 2 * sizer.GiB, min: sizer.New(1000, 2*sizer.GiB, 1), max: sizer.New(1100, 5*sizer.GiB/2, 1)},
		"declared too little": {
			seen: 8, cores: 16000, mem: 32 * sizer.GiB,
			min: sizer.New(16000, 32*sizer.GiB, 1), max: sizer.New(17600, 41*sizer.GiB, 1),
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEstimator(t)
			for range tc.seen {
				e.Used(1000, "job", tc.cores, tc.mem)
			}
			got := e.Size(1000, "job", declared)
			must.True(t, tc.min.Fits(got), must.Sprint(got))
			must.True(t, got.Fits(tc.max), must.Sprint(got))
		})
	}
}

// TestOutOfMemoryRaisesSize reports one task that ran out of memory. The next task must be
// granted more memory than that one used, or it would fail in the same way.
func TestOutOfMemoryRaisesSize(t *testing.T) {
	e := newEstimator(t)
	for range 20 {
		e.Used(1, "job", 1000, sizer.GiB)
	}
	had := e.Size(1, "job", sizer.Size{}).MemoryBytes()
	e.RanOutOfMemory(1, "job", had)
	must.Greater(t, had, e.Size(1, "job", sizer.Size{}).MemoryBytes())
}

func TestOldObservationsDecay(t *testing.T) {
	e := newEstimator(t)
	for range 100 {
		e.Ran(1, "job", clock.Hour)
	}
	later := 10 * defaultHalfLife
	for range 20 {
		e.Ran(later, "job", clock.Minute)
	}
	must.Less(t, 2*clock.Minute, e.RunTime(later, "job", clock.Day))
	must.Eq(t, clock.Day, e.RunTime(100*defaultHalfLife, "job", clock.Day))
}

// TestRescaleAvoidsOverflow records observations over 5000 half-lives. Without rescale, the
// weights would overflow a float64.
func TestRescaleAvoidsOverflow(t *testing.T) {
	e := newEstimator(t, WithHalfLife(clock.Second))
	for now := clock.Second; now < 5000*clock.Second; now += 100 {
		e.Ran(now, "job", clock.Minute)
	}
	got := e.RunTime(5000*clock.Second, "job", 0)
	must.Between(t, clock.Minute, got, 70*clock.Second)
}

func TestMaxFamiliesEvictsOldest(t *testing.T) {
	e := newEstimator(t, WithMaxFamilies(3))
	for i := range 10 {
		e.Ran(clock.Millis(i+1), strconv.Itoa(i), clock.Second)
	}
	must.Eq(t, 3, e.Len())
	must.MapContainsKeys(t, e.families, []string{"7", "8", "9"})
}

// TestQuantileAgainstSorted compares quantiles with those of the sorted values.
func TestQuantileAgainstSorted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Int64Range(1, 1<<44), 1, 200).Draw(t, "values")
		q := rapid.Float64Range(0.01, 0.99).Draw(t, "q")
		var h histogram
		for _, v := range values {
			h.add(1, v)
		}
		slices.Sort(values)
		exact := values[min(int(q*float64(len(values))), len(values)-1)]
		below := values[max(int(q*float64(len(values)))-1, 0)]
		got := h.quantile(q)
		must.GreaterEq(t, below, got)
		must.LessEq(t, float64(exact)*1.1+1, float64(got))
	})
}

func BenchmarkUsed(b *testing.B) {
	e, err := New()
	must.NoError(b, err)
	r := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for i := range b.N {
		e.Used(clock.Millis(i+1), "job", 500+r.Int64N(1000), sizer.GiB+r.Int64N(sizer.GiB))
	}
}
