// Package clock has Millis, the type of all points in time and durations in this project,
// in whole milliseconds. It also has the time sources: the system clock, a monotonic clock
// and a manual clock for tests.
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
	// Second is 1000 milliseconds.
	Second Millis = 1000
	// Minute is 60 seconds.
	Minute = 60 * Second
	// Hour is 60 minutes.
	Hour = 60 * Minute
	// Day is 24 hours. Calendar days may be longer or shorter, where daylight saving
	// time begins or ends.
	Day = 24 * Hour
	// Never is a point in time later than every other.
	Never Millis = math.MaxInt64
	// earliest is a point in time before every other.
	earliest Millis = math.MinInt64
)

// FromTime converts t, rounded down to whole milliseconds.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }

// FromDuration converts d, truncated to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Add returns m plus d, or the nearest time that there is if the sum would overflow.
func (m Millis) Add(d Millis) Millis {
	switch {
	case d > 0 && m > Never-d:
		return Never
	case d < 0 && m < earliest-d:
		return earliest
	default:
		return m + d
	}
}

// FromFloat converts a number of milliseconds, without its fraction, to the nearest time that there is.
// Not a number is 0.
func FromFloat(ms float64) Millis {
	switch {
	case math.IsNaN(ms):
		return 0
	case ms >= float64(Never):
		return Never
	case ms <= float64(earliest):
		return earliest
	default:
		return Millis(ms)
	}
}

// Sub returns the duration from n to m.
func (m Millis) Sub(n Millis) Millis { return m - n }

// Before reports whether m is earlier than n.
func (m Millis) Before(n Millis) bool { return m < n }

// Time returns the point in time m in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Duration returns the duration m as a time.Duration, the nearest one that there is for more than 292
// years.
func (m Millis) Duration() time.Duration {
	const most = Millis(math.MaxInt64 / int64(time.Millisecond))
	switch {
	case m > most:
		return math.MaxInt64
	case m < -most:
		return math.MinInt64
	default:
		return time.Duration(m) * time.Millisecond
	}
}

// String formats the point in time m in UTC as RFC 3339 with milliseconds.
func (m Millis) String() string { return m.Time().Format("2006-01-02T15:04:05.000Z") }

// MarshalText formats the duration m with its unit, such as "1.5s".
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.Duration().String()), nil }

// UnmarshalText parses a duration with its unit, such as "250ms" or "1h30m". It returns an
// error for fractions of a millisecond.
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
