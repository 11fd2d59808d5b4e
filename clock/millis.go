// Package clock has the project's one type for points in time and durations,
// whole milliseconds, and the sources they come from.
package clock

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

type (
	// Millis is a point in time, in milliseconds since the Unix epoch, or a
	// duration in milliseconds.
	Millis int64
)

const (
	// Second is one second.
	Second Millis = 1000
	// Minute is one minute.
	Minute = 60 * Second
	// Hour is one hour.
	Hour = 60 * Minute
	// Day is 24 hours; calendar days differ where clocks are put forward or back.
	Day = 24 * Hour
	// Never is later than every point in time.
	Never Millis = math.MaxInt64
)

// FromTime gives the point in time t, cut to whole milliseconds.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }

// FromDuration gives d, cut to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Add gives m moved by d. It stays at Never instead of overflowing.
func (m Millis) Add(d Millis) Millis {
	if d > 0 && m > Never-d {
		return Never
	}
	return m + d
}

// Sub gives the duration from n to m.
func (m Millis) Sub(n Millis) Millis { return m - n }

// Before tells whether m is earlier than n.
func (m Millis) Before(n Millis) bool { return m < n }

// Time gives the point in time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Duration gives m as a duration of the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String gives the point in time in RFC 3339 with milliseconds.
func (m Millis) String() string { return m.Time().Format("2006-01-02T15:04:05.000Z") }

// MarshalText gives m as a duration with its unit, such as "1.5s".
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.Duration().String()), nil }

// UnmarshalText reads a duration with its unit, such as "250ms" or "1h30m".
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit, such as \"250ms\" or \"1h30m\"", text)
	}
	if d%time.Millisecond != 0 {
		return errors.Errorf("%q is not in whole milliseconds", text)
	}
	*m = FromDuration(d)
	return nil
}
