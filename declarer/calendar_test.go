package declarer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

func TestOccurrences(t *testing.T) {
	tests := map[string]struct {
		calendar    Calendar
		zone        string
		from, until string
		want        []string
	}{
		"none":          {Calendar{Every: EveryNone}, "UTC", "2026-01-01T00:00:00Z", "2027-01-01T00:00:00Z", nil},
		"month":         {Calendar{Every: EveryMonth, Day: 28, Hour: 3}, "America/Port_of_Spain", "2028-02-01T04:00:00Z", "2028-04-01T04:00:00Z", []string{"2028-02-28T07:00:00Z", "2028-03-28T07:00:00Z"}},
		"week":          {Calendar{Every: EveryWeek, Day: 7, Hour: 22}, "Europe/Ljubljana", "2026-10-15T00:00:00Z", "2026-10-27T00:00:00Z", []string{"2026-10-18T20:00:00Z", "2026-10-25T21:00:00Z"}},
		"hour skipped":  {Calendar{Every: EveryDay, Hour: 2}, "Europe/Ljubljana", "2026-03-28T12:00:00Z", "2026-03-30T12:00:00Z", []string{"2026-03-29T01:00:00Z", "2026-03-30T00:00:00Z"}},
		"hour repeated": {Calendar{Every: EveryDay, Hour: 2}, "Europe/Ljubljana", "2026-10-24T12:00:00Z", "2026-10-26T12:00:00Z", []string{"2026-10-25T00:00:00Z", "2026-10-26T01:00:00Z"}},
		"terms":         {Calendar{Every: EveryDay, Hour: 0, Terms: []Term{{"2026-01-02", "2026-01-03"}, {"2026-01-05", "2026-01-05"}}}, "UTC", "2026-01-01T00:00:00Z", "2026-01-08T00:00:00Z", []string{"2026-01-02T00:00:00Z", "2026-01-03T00:00:00Z", "2026-01-05T00:00:00Z"}},
		"range bounds":  {Calendar{Every: EveryDay, Hour: 5}, "UTC", "2026-01-01T05:00:00Z", "2026-01-02T05:00:00Z", []string{"2026-01-01T05:00:00Z"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			zone, err := time.LoadLocation(tc.zone)
			must.NoError(t, err)
			var got []string
			for _, o := range tc.calendar.Occurrences(parseTime(t, tc.from), parseTime(t, tc.until), zone) {
				got = append(got, o.Time().Format(time.RFC3339))
			}
			must.Eq(t, tc.want, got)
		})
	}
}

func parseTime(t *testing.T, text string) clock.Millis {
	when, err := time.Parse(time.RFC3339, text)
	must.NoError(t, err)
	return clock.FromTime(when)
}
