package clock

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRelayNeverRunsAhead guards against a bound that ends early on the host that takes it over.
func TestRelayNeverRunsAhead(t *testing.T) {
	tests := map[string]struct {
		// gap is the time from the reading of one host until the next has seen it.
		gap Millis
	}{
		"seen at once": {},
		"seen late":    {gap: 700},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			// The hosts' own clocks have nothing in common.
			passed := NewManual(0)
			own := func(boot Millis) func() Millis { return func() Millis { return boot + passed.Now() } }
			r := NewRelay(own(50), 1000, 50)
			bound := r.At(50 + 8000)
			must.Eq(t, 50+8000, r.Local(bound))
			for i := range Millis(3) {
				passed.Advance(2000)
				reading := r.Now()
				passed.Advance(tc.gap)
				now := own(7_000_000 * (i + 1))
				r = NewRelay(now, reading, now())
				must.Eq(t, reading, r.Now())
				// The bound is 8 s after the first reading; each gap adds to it.
				must.Eq(t, now()-passed.Now()+8000+tc.gap*(i+1), r.Local(bound))
			}
		})
	}
}
