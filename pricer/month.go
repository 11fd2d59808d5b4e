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

// MonthOf returns the month of t in a time zone.
func MonthOf(t clock.Millis, zone *time.Location) Month {
	at := t.Time().In(zone)
	return Month{year: at.Year(), month: at.Month(), zone: zone}
}

// ParseMonth parses a month such as "2026-12". Its error has the code BadFormat.
func ParseMonth(text string, zone *time.Location) (Month, error) {
	at, err := time.Parse(monthLayout, text)
	if err != nil {
		return Month{}, coder.New(coder.BadFormat, "%q is not a month of the form 2026-12", text)
	}
	return Month{year: at.Year(), month: at.Month(), zone: zone}, nil
}

// Start returns the first midnight of the month.
func (m Month) Start() clock.Millis { return m.midnight(1) }

// End returns the start of the next month.
func (m Month) End() clock.Millis { return m.Next().Start() }

// Next returns the month after m.
func (m Month) Next() Month { return m.addMonths(1) }

// Previous returns the month before m.
func (m Month) Previous() Month { return m.addMonths(-1) }

// Days returns the start of each day of the month.
func (m Month) Days() []clock.Millis { return DaysBetween(m.Start(), m.End(), m.zone) }

// Zone returns the time zone in which the month's days begin and end.
func (m Month) Zone() *time.Location { return m.zone }

// String returns the month in the form "2026-12".
func (m Month) String() string {
	return time.Date(m.year, m.month, 1, 0, 0, 0, 0, time.UTC).Format(monthLayout)
}

func (m Month) addMonths(n int) Month {
	at := time.Date(m.year, m.month+time.Month(n), 1, 0, 0, 0, 0, time.UTC)
	return Month{year: at.Year(), month: at.Month(), zone: m.zone}
}

func (m Month) midnight(day int) clock.Millis {
	return clock.FromTime(time.Date(m.year, m.month, day, 0, 0, 0, 0, m.zone))
}

// DaysBetween returns from, followed by the start of each later day before until. It
// returns nothing if until is not after from.
func DaysBetween(from, until clock.Millis, zone *time.Location) []clock.Millis {
	var days []clock.Millis
	for at := from; at < until; at = NextDay(at, zone) {
		days = append(days, at)
	}
	return days
}

// NextDay returns the start of the day after that of t.
func NextDay(t clock.Millis, zone *time.Location) clock.Millis {
	// Days last 23 to 25 hours, so 36 hours after a midnight lies in the next day.
	return meter.StartOfDay(meter.StartOfDay(t, zone)+36*clock.Hour, zone)
}
