package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestAdd(t *testing.T) {
	tests := map[string]struct {
		m, d, want Millis
	}{
		"forward":  {m: 10, d: 5, want: 15},
		"back":     {m: 10, d: -5, want: 5},
		"overflow": {m: Never - 1, d: 5, want: Never},
		"never":    {m: Never, d: Second, want: Never},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, tc.m.Add(tc.d))
		})
	}
}

func TestTimeRoundTrip(t *testing.T) {
	w := time.Date(2026, 2, 28, 23, 59, 59, 999_000_000, time.UTC)
	must.Eq(t, w, FromTime(w).Time())
	must.Eq(t, "2026-02-28T23:59:59.999Z", FromTime(w).String())
}

func TestManual(t *testing.T) {
	m := NewManual(100)
	must.Eq(t, Millis(150), m.Advance(50))
	must.Eq(t, Millis(150), m.Now())
}
