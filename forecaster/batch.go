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
	// weekdayKey is a day of the week, inside or outside the terms of a calendar. Terms are
	// the ranges of dates to which a calendar is restricted.
	weekdayKey struct {
		day    time.Weekday
		inTerm bool
	}
)

const (
	// maxSamples limits the number of past runs, or of days per weekdayKey, that a
	// mean is taken over.
	maxSamples = 8
	// sampleDecay is the weight of a sample relative to that of the next newer one.
	sampleDecay = 0.8
	daysOfWeek  = 7
	// maxBatchCorrection limits model.batchCorrection, and its inverse.
	maxBatchCorrection = 3.0
	// The growth rate per day is estimated from the last growthWeeks weeks and limited to
	// maxDailyGrowth in either direction. growthDamping is the part of the estimated
	// growth that is expected to continue.
	maxDailyGrowth = 0.004
	growthWeeks    = 12
	growthDamping  = 0.5
	// maxGrowthDays is how many days the growth is extrapolated.
	maxGrowthDays = 45
)

// pastRuns returns the reservations of the last runs of a batch job with a calendar, oldest
// first. All that the job reserves from the day of one occurrence up to the day of the next
// counts as one run. Runs without reservations or shorter than a day are left out.
func (m *model) pastRuns(w *workload) []vector {
	if m.knownDays == 0 || w.kind != declarer.KindBatchJob || w.batch.Name == "" {
		return nil
	}
	end := m.history.until
	if m.knownDays < len(m.history.days) {
		end = m.history.days[m.knownDays]
	}
	times := m.history.occurrences(w.batch.Calendar, end)
	var runs []vector
	for n := max(0, len(times)-maxSamples-1); n < len(times); n++ {
		until := end
		if n+1 < len(times) {
			until = times[n+1]
		}
		if v := m.reservedBetween(w, times[n], until); !v.isZero() && until-times[n] >= clock.Day {
			runs = append(runs, v)
		}
	}
	return runs
}

// reservedBetween returns the reservations of a workload from the day of from to the day
// before that of until.
func (m *model) reservedBetween(w *workload, from, until clock.Millis) vector {
	var v vector
	end := min(m.knownDays, m.history.dayIndex(meter.StartOfDay(until, m.history.zone)))
	for d := m.history.dayIndex(meter.StartOfDay(from, m.history.zone)); d < end; d++ {
		v = v.add(w.history.total(d))
	}
	return v
}

// expectByRun returns a function that estimates the reservations of a batch job with a weekly
// or monthly calendar in a span. Each occurrence is expected to reserve the weighted mean of
// the past runs, or the corrected declared amount if there are none.
func (m *model) expectByRun(w *workload) func(span) vector {
	run := weightedMean(w.runs)
	if run.isZero() {
		run = declaredRun(w.batch).scale(m.batchCorrection)
	}
	return func(s span) vector {
		n := len(w.batch.Calendar.Occurrences(s.from, s.until, m.history.zone))
		v := run.scale(float64(n) * m.growthFactor(s.dayStart))
		if s.from > s.dayStart && len(w.batch.Calendar.Occurrences(s.dayStart, s.from, m.history.zone)) > 0 {
			v = v.add(remainingOfRun(run, w.history.today))
		}
		return v
	}
}

// remainingOfRun returns what a run that began today is still expected to reserve. today is
// what it has reserved so far.
func remainingOfRun(run, today vector) vector {
	for r := range run {
		run[r] = math.Max(0, run[r]-today[r])
	}
	return run
}

// weightedMean returns the mean of samples, oldest first, weighted by sampleDecay.
func weightedMean(samples []vector) vector {
	var sum vector
	total, weight := 0.0, 1.0
	for n := len(samples) - 1; n >= 0; n-- {
		sum = sum.add(samples[n].scale(weight))
		total += weight
		weight *= sampleDecay
	}
	if total == 0 {
		return vector{}
	}
	return sum.scale(1 / total)
}

// expectByWeekday returns a function that estimates the reservations of a batch job with a
// daily calendar or none in a span: the weighted mean of the same days of the week, inside or
// outside the terms of its calendar. A job that hasn't run yet is expected to run at each
// occurrence and reserve the corrected declared amount.
func (m *model) expectByWeekday(w *workload) func(span) vector {
	means := m.weekdayMeans(w)
	run := declaredRun(w.batch).scale(m.batchCorrection)
	hasRun := m.ranWithin(w.history, m.knownDays)
	return func(s span) vector {
		inTerm := w.batch.Calendar.InTerm(s.from, m.history.zone)
		v := means[weekdayKey{weekday(s.dayStart, m.history.zone), inTerm}]
		if v.isZero() && inTerm && !hasRun {
			n := len(w.batch.Calendar.Occurrences(s.from, s.until, m.history.zone))
			return run.scale(float64(n))
		}
		return v.scale(s.dayFraction(m.history) * m.growthFactor(s.dayStart))
	}
}

// weekdayMeans returns the weighted mean reservations of a job for each day of the week,
// inside and outside its terms. Days before its first run are left out.
func (m *model) weekdayMeans(w *workload) map[weekdayKey]vector {
	firstRunDay := 0
	for firstRunDay < m.knownDays && w.history.total(firstRunDay).isZero() {
		firstRunDay++
	}
	samples := map[weekdayKey][]vector{}
	fullKeys := 0
	for d := m.knownDays - 1; d >= firstRunDay && fullKeys < 2*daysOfWeek; d-- {
		k := weekdayKey{m.history.weekdays[d], w.batch.Calendar.InTerm(m.history.days[d], m.history.zone)}
		if len(samples[k]) == maxSamples {
			continue
		}
		samples[k] = append(samples[k], w.history.total(d))
		if len(samples[k]) == maxSamples {
			fullKeys++
		}
	}
	means := map[weekdayKey]vector{}
	for k, latestFirst := range samples {
		slices.Reverse(latestFirst)
		means[k] = weightedMean(latestFirst)
	}
	return means
}

// estimateGrowth returns the growth rate of batch jobs per day: the damped median slope
// between the logarithms of the weekly totals (Theil-Sen estimator). It is 0 if the history
// has fewer than growthWeeks weeks.
func (m *model) estimateGrowth() float64 {
	var logTotals []float64
	for end := m.knownDays; end >= 7 && len(logTotals) < growthWeeks; end -= 7 {
		logTotals = append(logTotals, math.Log(1+m.weekTotal(end)))
	}
	if len(logTotals) < growthWeeks {
		return 0
	}
	var slopes []float64
	for a := range logTotals {
		for b := a + 1; b < len(logTotals); b++ {
			slopes = append(slopes, (logTotals[a]-logTotals[b])/float64(b-a)/7)
		}
	}
	g := median(slopes) * growthDamping
	return max(-maxDailyGrowth, min(maxDailyGrowth, g))
}

// weekTotal returns the processors that batch jobs reserved in the 7 days before day end.
func (m *model) weekTotal(end int) float64 {
	total := 0.0
	for _, w := range m.workloads {
		// Terms and monthly runs change the weekly total without being growth.
		if w.kind != declarer.KindBatchJob || len(w.batch.Calendar.Terms) > 0 || w.batch.Calendar.Every == declarer.EveryMonth {
			continue
		}
		for d := end - 7; d < end; d++ {
			total += w.history.total(d)[pricer.Processors]
		}
	}
	return total
}

// growthFactor returns the expected growth from the past runs or days, over which the means
// are taken, to a day. Their weighted mean age is taken to be a quarter of maxSamples weeks.
func (m *model) growthFactor(day clock.Millis) float64 {
	end := m.history.until
	if m.knownDays < len(m.history.days) {
		end = m.history.days[m.knownDays]
	}
	ahead := float64(day-end)/float64(clock.Day) + maxSamples*7/4
	return math.Exp(m.dailyGrowth * min(maxGrowthDays, ahead))
}

func weekday(at clock.Millis, zone *time.Location) time.Weekday { return at.Time().In(zone).Weekday() }
