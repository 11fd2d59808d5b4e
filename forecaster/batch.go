package forecaster

import (
	"math"
	"slices"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// weekdayIn is a day of the week, in a term or not.
	weekdayIn struct {
		day time.Weekday
		in  bool
	}
)

const (
	// maxRuns is how many past runs, or days of one weekday, are looked at.
	maxRuns = 8
	// fading is the weight of a run for that of the one after it.
	fading        = 0.8
	daysOfWeek    = 7
	maxCorrection = 3.0
	// maxGrowth bounds the growth of a day, and growthWeeks is what it is
	// taken from; only a part of it is believed to go on.
	maxGrowth    = 0.004
	growthWeeks  = 12
	growthBelief = 0.5
	// maxGrowthDays bounds how far ahead the growth goes on.
	maxGrowthDays = 45
)

// runsOf gives what the last runs of a job with a calendar held, in order: what
// it held from the day of an occurrence to the day of the next.
func (m *model) runsOf(w *work) []vector {
	if m.known == 0 || w.kind != declarer.KindBatchJob || w.batch.Name == "" {
		return nil
	}
	end := m.h.until
	if m.known < len(m.h.days) {
		end = m.h.days[m.known]
	}
	times := m.h.occurrences(w.batch.Calendar, end)
	var runs []vector
	for n := max(0, len(times)-maxRuns-1); n < len(times); n++ {
		until := end
		if n+1 < len(times) {
			until = times[n+1]
		}
		if v := m.heldIn(w, times[n], until); !v.isZero() && until-times[n] >= clock.Day {
			runs = append(runs, v)
		}
	}
	return runs
}

// heldIn gives what a work held from the day of one moment to the day before
// another's.
func (m *model) heldIn(w *work, from, until clock.Millis) vector {
	var v vector
	end := min(m.known, m.h.index(meter.DayOf(until, m.h.zone)))
	for d := m.h.index(meter.DayOf(from, m.h.zone)); d < end; d++ {
		v = v.plus(w.past.total(d))
	}
	return v
}

// byRun expects what a job's runs held so far of each run to come.
func (m *model) byRun(w *work) func(span) vector {
	run := faded(w.runs)
	if run.isZero() {
		run = declaredRun(w.batch).times(m.correction)
	}
	return func(s span) vector {
		n := len(w.batch.Calendar.Occurrences(s.from, s.until, m.h.zone))
		v := run.times(float64(n) * m.grown(s.start))
		if s.from > s.start && len(w.batch.Calendar.Occurrences(s.start, s.from, m.h.zone)) > 0 {
			v = v.plus(left(run, w.past.today))
		}
		return v
	}
}

// left gives what a run that has begun today will still hold.
func left(run, today vector) vector {
	for r := range run {
		run[r] = math.Max(0, run[r]-today[r])
	}
	return run
}

func faded(runs []vector) vector {
	var sum vector
	total, weight := 0.0, 1.0
	for n := len(runs) - 1; n >= 0; n-- {
		sum = sum.plus(runs[n].times(weight))
		total += weight
		weight *= fading
	}
	if total == 0 {
		return vector{}
	}
	return sum.times(1 / total)
}

// byWeekday expects what a job held on the same days of the week, in or out of
// its terms.
func (m *model) byWeekday(w *work) func(span) vector {
	levels := m.weekdayLevels(w)
	run := declaredRun(w.batch).times(m.correction)
	ran := m.ran(w.past, m.known)
	return func(s span) vector {
		in := w.batch.Calendar.InTerm(s.from, m.h.zone)
		v := levels[weekdayIn{weekday(s.start, m.h.zone), in}]
		if v.isZero() && in && !ran {
			n := len(w.batch.Calendar.Occurrences(s.from, s.until, m.h.zone))
			return run.times(float64(n))
		}
		return v.times(s.portion(m.h) * m.grown(s.start))
	}
}

// weekdayLevels gives what a job holds on each day of the week, in and out of
// its terms, from its first day on.
func (m *model) weekdayLevels(w *work) map[weekdayIn]vector {
	first := 0
	for first < m.known && w.past.total(first).isZero() {
		first++
	}
	days := map[weekdayIn][]vector{}
	full := 0
	for d := m.known - 1; d >= first && full < 2*daysOfWeek; d-- {
		k := weekdayIn{m.h.weekdays[d], w.batch.Calendar.InTerm(m.h.days[d], m.h.zone)}
		if len(days[k]) == maxRuns {
			continue
		}
		days[k] = append(days[k], w.past.total(d))
		if len(days[k]) == maxRuns {
			full++
		}
	}
	levels := map[weekdayIn]vector{}
	for k, latestFirst := range days {
		slices.Reverse(latestFirst)
		levels[k] = faded(latestFirst)
	}
	return levels
}

// growthOf gives how fast work that is not standing grows, as a share for a
// day: the middle slope between the totals of the last weeks.
func (m *model) growthOf() float64 {
	var weeks []float64
	for end := m.known; end >= 7 && len(weeks) < growthWeeks; end -= 7 {
		weeks = append(weeks, math.Log(1+m.weekTotal(end)))
	}
	if len(weeks) < growthWeeks {
		return 0
	}
	var slopes []float64
	for a := range weeks {
		for b := a + 1; b < len(weeks); b++ {
			slopes = append(slopes, (weeks[a]-weeks[b])/float64(b-a)/7)
		}
	}
	g := median(slopes) * growthBelief
	return max(-maxGrowth, min(maxGrowth, g))
}

func (m *model) weekTotal(end int) float64 {
	total := 0.0
	for _, w := range m.works {
		// Terms and rare runs are no growth.
		if w.kind != declarer.KindBatchJob || len(w.batch.Calendar.Terms) > 0 || w.batch.Calendar.Every == declarer.EveryMonth {
			continue
		}
		for d := end - 7; d < end; d++ {
			total += w.past.total(d)[pricer.Processors]
		}
	}
	return total
}

// grown gives the growth from the middle of the weeks that are looked at to a
// day.
func (m *model) grown(day clock.Millis) float64 {
	end := m.h.until
	if m.known < len(m.h.days) {
		end = m.h.days[m.known]
	}
	ahead := float64(day-end)/float64(clock.Day) + maxRuns*7/4
	return math.Exp(m.growth * min(maxGrowthDays, ahead))
}

func weekday(at clock.Millis, zone *time.Location) time.Weekday { return at.Time().In(zone).Weekday() }
