package declarer

import (
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Every is the frequency of scheduled runs.
	Every string

	// Calendar is the schedule of a batch job, in the operator's time zone.
	Calendar struct {
		Every Every `json:"every"`
		// Day is the day of the month, 1 to 28, so that every month has it, or
		// of the week, 1 for Monday to 7.
		Day int `json:"day"`
		// Hour is the hour of the day, 0 to 23.
		Hour int `json:"hour"`
		// Terms limit the runs to spans of days; none for no limit.
		Terms []Term `json:"terms,omitempty"`
	}

	// Term is a span of days in DateLayout, both ends included.
	Term struct {
		From  string `json:"from"`
		Until string `json:"until"`
	}
)

// Frequencies of scheduled runs. A job with EveryNone runs only when it is submitted.
const (
	EveryNone  Every = "none"
	EveryDay   Every = "day"
	EveryWeek  Every = "week"
	EveryMonth Every = "month"
)

// DateLayout is the layout of days in declarations, for time.Parse.
const DateLayout = "2006-01-02"

func (c Calendar) validate(v *Validator) {
	switch c.Every {
	case EveryNone, EveryDay:
	case EveryWeek:
		v.between("calendar.day", int64(c.Day), 1, 7)
	case EveryMonth:
		v.between("calendar.day", int64(c.Day), 1, 28)
	default:
		v.badFormat("calendar.every", "%q is none of none, day, week and month", c.Every)
	}
	v.between("calendar.hour", int64(c.Hour), 0, 23)
	for i, t := range c.Terms {
		t.validate(v.element("calendar.terms", i))
	}
}

func (t Term) validate(v *Validator) {
	f, ferr := time.Parse(DateLayout, t.From)
	u, uerr := time.Parse(DateLayout, t.Until)
	if ferr != nil {
		v.badFormat("from", "%q is not a day of the form 2026-09-01", t.From)
	}
	if uerr != nil {
		v.badFormat("until", "%q is not a day of the form 2026-09-01", t.Until)
	}
	if ferr == nil && uerr == nil && u.Before(f) {
		v.badFormat("until", "%s is before %s", t.Until, t.From)
	}
}

// Occurrences returns the scheduled times in [from, until) for a calendar in a time zone.
// When summer time begins, a run in the skipped hour moves to the hour after it. When it
// ends, a run in the repeated hour occurs once, in the first of the two.
func (c Calendar) Occurrences(from, until clock.Millis, zone *time.Location) []clock.Millis {
	var times []clock.Millis
	at := from.Time().In(zone)
	for n := 0; ; n++ {
		day := time.Date(at.Year(), at.Month(), at.Day()+n, c.Hour, 0, 0, 0, zone)
		if earlier := day.Add(-time.Hour); earlier.Hour() == day.Hour() {
			day = earlier
		}
		t := clock.FromTime(day)
		if t >= until {
			return times
		}
		if t >= from && c.matchesDay(day) && c.InTerm(t, zone) {
			times = append(times, t)
		}
	}
}

// matchesDay reports whether the job is scheduled on a day, regardless of terms.
func (c Calendar) matchesDay(day time.Time) bool {
	switch c.Every {
	case EveryDay:
		return true
	case EveryWeek:
		return (int(day.Weekday())+6)%7+1 == c.Day
	case EveryMonth:
		return day.Day() == c.Day
	}
	return false
}

// InTerm reports whether the day of t in zone is in one of the terms. It is always true
// for a calendar without terms.
func (c Calendar) InTerm(t clock.Millis, zone *time.Location) bool {
	if len(c.Terms) == 0 {
		return true
	}
	day := t.Time().In(zone).Format(DateLayout)
	for _, term := range c.Terms {
		if term.From <= day && day <= term.Until {
			return true
		}
	}
	return false
}
