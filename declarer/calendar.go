package declarer

import (
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Every is how often a job runs by itself.
	Every string

	// Calendar says when a job runs by itself, in the operator's time zone.
	Calendar struct {
		Every Every `json:"every"`
		// Day is the day of the month from 1, or of the week from 1 for
		// Monday.
		Day int `json:"day"`
		// Hour is the hour of the day, 0 to 23.
		Hour int `json:"hour"`
		// Terms are the spans of days in which the job runs; none for always.
		Terms []Term `json:"terms,omitempty"`
	}

	// Term is a span of days, both ends included.
	Term struct {
		From  string `json:"from"`
		Until string `json:"until"`
	}
)

// How often a job runs by itself.
const (
	EveryNone  Every = "none"
	EveryDay   Every = "day"
	EveryWeek  Every = "week"
	EveryMonth Every = "month"
)

// DateLayout is the form of days in declarations.
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
		t.validate(v.at("calendar.terms", i))
	}
}

func (t Term) validate(v *Validator) {
	f, ferr := time.Parse(DateLayout, t.From)
	u, uerr := time.Parse(DateLayout, t.Until)
	if ferr != nil {
		v.badFormat("from", "%q is not a day, such as 2026-09-01", t.From)
	}
	if uerr != nil {
		v.badFormat("until", "%q is not a day, such as 2026-09-01", t.Until)
	}
	if ferr == nil && uerr == nil && u.Before(f) {
		v.badFormat("until", "%s is before %s", t.Until, t.From)
	}
}

// Occurrences gives the times in [from, until) at which the job runs by itself,
// in a time zone. An hour that the clocks skip becomes the one after it; an
// hour that comes twice counts at its first coming.
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
		if t >= from && c.on(day) && c.InTerm(t, zone) {
			times = append(times, t)
		}
	}
}

// on tells whether the job runs by itself on a day, terms aside.
func (c Calendar) on(day time.Time) bool {
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

// InTerm tells whether t lies in one of the terms; always where there are none.
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
