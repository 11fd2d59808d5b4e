package conductor

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestAppendTimer guards against predictions that are too short while an append takes longer than the
// last one, and against a slow append that counts long after its end.
func TestAppendTimer(t *testing.T) {
	type span struct{ from, to clock.Millis }
	tests := map[string]struct {
		appends []span
		// began is the beginning of the append under way, 0 for none.
		began, now, want clock.Millis
	}{
		"none yet":                         {now: 1000},
		"idle after a quick one":           {appends: []span{{100, 104}}, now: 150, want: 4},
		"idle after a slow one":            {appends: []span{{100, 700}}, now: 750, want: 600},
		"idle for long after a slow one":   {appends: []span{{100, 700}}, now: 1701},
		"under way, as long as usual":      {appends: []span{{100, 700}}, began: 710, now: 810, want: 500 + 600},
		"under way, longer than the last":  {appends: []span{{100, 104}}, began: 110, now: 410, want: 300 + 300},
		"quick again after a slow one":     {appends: []span{{100, 700}, {710, 714}}, now: 720, want: 4},
		"under way after a long idle time": {appends: []span{{100, 104}}, began: 5000, now: 5002, want: 2 + 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := &appendTimer{}
			for _, p := range tc.appends {
				a.begin(p.from)
				a.end(p.to)
			}
			if tc.began != 0 {
				a.begin(tc.began)
			}
			must.Eq(t, tc.want, a.wait(tc.now))
		})
	}
}
