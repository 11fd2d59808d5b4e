package pricer

import (
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/meter"
)

type (
	// Month is a calendar month in the operator's time zone.
	Month struct {
		year  int
		month time.Month
		zone  *time.Location
	}
)

const (
	monthLayout = "2006-01"
)

// MonthOf gives the month in which t lies.
func MonthOf(t clock.Millis, zone *time.Location) Month {
	at := t.Time().In(zone)
	return Month{year: at.Year(), month: at.Month(), zone: zone}
}

// ParseMonth reads a month such as "2026-12".
func ParseMonth(text string, zone *time.Location) (Month, error) {
	at, err := time.Parse(monthLayout, text)
	if err != nil {
		return Month{}, coder.New(coder.BadFormat, "%q is not a month, such as 2026-12", text)
	}
	return Month{year: at.Year(), month: at.Month(), zone: zone}, nil
}

// Start gives the beginning of the month.
func (m Month) Start() clock.Millis { return m.midnight(1) }

// End gives the beginning of the next month.
func (m Month) End() clock.Millis { return m.Next().Start() }

// Next gives the month after m.
func (m Month) Next() Month { return m.moved(1) }

// Previous gives the month before m.
func (m Month) Previous() Month { return m.moved(-1) }

// Days gives the beginning of each day.
func (m Month) Days() []clock.Millis { return DaysBetween(m.Start(), m.End(), m.zone) }

// Zone gives the time zone.
func (m Month) Zone() *time.Location { return m.zone }

// String gives the month as "2026-12".
func (m Month) String() string {
	return time.Date(m.year, m.month, 1, 0, 0, 0, 0, time.UTC).Format(monthLayout)
}

func (m Month) moved(n int) Month {
	at := time.Date(m.year, m.month+time.Month(n), 1, 0, 0, 0, 0, time.UTC)
	return Month{year: at.Year(), month: at.Month(), zone: m.zone}
}

func (m Month) midnight(day int) clock.Millis {
	return clock.FromTime(time.Date(m.year, m.month, day, 0, 0, 0, 0, m.zone))
}

// DaysBetween gives the beginning of each day that begins in [from, until), and
// from itself where it lies within a day.
func DaysBetween(from, until clock.Millis, zone *time.Location) []clock.Millis {
	var days []clock.Millis
	for at := from; at < until; at = NextDay(at, zone) {
		days = append(days, at)
	}
	return days
}

// NextDay gives the beginning of the day after the one in which t lies.
func NextDay(t clock.Millis, zone *time.Location) clock.Millis {
	return meter.DayOf(meter.DayOf(t, zone)+36*clock.Hour, zone)
}
