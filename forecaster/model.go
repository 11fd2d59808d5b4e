package forecaster

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// model predicts the reservations of workloads from the first knownDays of the
	// history and their declarations.
	model struct {
		history *history
		// knownDays is the number of days of the history that the model may use. In a
		// backtest it is less than all of them.
		knownDays int
		state     *declarer.State
		// isForecast is false for a backtest. Today's declarations may not have been in
		// force then, so a backtest uses neither declared replicas nor quotas, keeps
		// the shares of drained data centres, and includes workloads that are no
		// longer declared.
		isForecast  bool
		dailyGrowth float64
		workloads   []*workload
		// batchCorrection is the ratio of reserved to declared processors of batch
		// jobs. It corrects the declarations of jobs that haven't run yet.
		batchCorrection float64
	}

	// workload is a service, watch job or batch job with its expected reservations.
	workload struct {
		name    string
		team    string
		history *workloadHistory
		kind    declarer.Kind
		batch   declarer.BatchJob
		// taskRate is the declared reservation of one task per millisecond.
		// declaredRate is that of all replicas of a long-running workload.
		taskRate     vector
		declaredRate vector
		// runs holds the reservations of its last runs if it is a batch job with a
		// calendar, see pastRuns.
		runs []vector
		// expectedIn returns the expected reservations in a span.
		expectedIn func(s span) vector
		// shares holds the part of the reservations in each data centre.
		shares map[string]float64
		// sizeFactor and timeFactor are the declared size and run time of a task
		// after the change of a what-if forecast, relative to those before it. They
		// are 1 in other forecasts.
		sizeFactor float64
		timeFactor float64
	}

	// span is the time [from, until) in the day that begins at dayStart: a future day, the
	// part of today that has no records, or a past day of a backtest.
	span struct {
		dayStart clock.Millis
		from     clock.Millis
		until    clock.Millis
	}
)

const (
	// activeDays is within how many of its last known days an undeclared workload must
	// have had reservations to be part of a backtest.
	activeDays = 28
)

func (s span) length() float64 { return float64(s.until - s.from) }

// dayFraction returns the part of the day that is in the span.
func (s span) dayFraction(h *history) float64 {
	return s.length() / float64(pricer.NextDay(s.dayStart, h.zone)-s.dayStart)
}

func newModel(h *history, knownDays int, s *declarer.State, isForecast bool) *model {
	m := &model{history: h, knownDays: knownDays, state: s, isForecast: isForecast, batchCorrection: 1}
	m.addDeclared()
	m.addEnded()
	slices.SortFunc(m.workloads, func(a, b *workload) int { return cmp.Compare(a.name, b.name) })
	for _, w := range m.workloads {
		w.runs = m.pastRuns(w)
	}
	m.dailyGrowth = m.estimateGrowth()
	m.batchCorrection = m.estimateBatchCorrection()
	for _, w := range m.workloads {
		w.expectedIn = m.expectationOf(w)
		w.shares = m.dataCentreShares(w)
	}
	return m
}

func (m *model) addDeclared() {
	for _, s := range m.state.Services() {
		taskRate := reservationRate(s.Size.Size())
		m.add(&workload{name: s.Name, team: s.Team, kind: declarer.KindService, taskRate: taskRate, declaredRate: taskRate.scale(float64(s.Replicas))})
	}
	for _, w := range m.state.WatchJobs() {
		taskRate := reservationRate(w.Size.Size())
		m.add(&workload{name: w.Name, team: w.Team, kind: declarer.KindWatchJob, taskRate: taskRate, declaredRate: taskRate})
	}
	for _, b := range m.state.BatchJobs() {
		m.add(&workload{name: b.Name, team: b.Team, kind: declarer.KindBatchJob, taskRate: reservationRate(b.Size.Size()), batch: b})
	}
}

// addEnded adds the workloads to a backtest that were active then and are no longer declared.
// A forecast expects no reservations of them.
func (m *model) addEnded() {
	if m.isForecast {
		return
	}
	declared := map[string]bool{}
	for _, w := range m.workloads {
		declared[w.name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(m.history.workloads)) {
		if !declared[name] && m.ranWithin(m.history.workloads[name], activeDays) {
			m.add(&workload{name: name, team: m.history.workloads[name].team, kind: declarer.KindBatchJob})
		}
	}
}

// add adds a workload with its history. A backtest leaves out workloads that had not run by
// then.
func (m *model) add(w *workload) {
	w.sizeFactor, w.timeFactor = 1, 1
	w.history = m.history.workloads[w.name]
	if w.history == nil {
		w.history = &workloadHistory{team: w.team}
	}
	if m.isForecast || m.ranWithin(w.history, m.knownDays) {
		m.workloads = append(m.workloads, w)
	}
}

// ranWithin reports whether a workload had reservations on any of the given number of last
// known days.
func (m *model) ranWithin(p *workloadHistory, days int) bool {
	for d := max(0, m.knownDays-days); d < m.knownDays; d++ {
		if !p.total(d).isZero() {
			return true
		}
	}
	return false
}

// expectationOf returns a function that estimates the reservations of a workload in a span.
func (m *model) expectationOf(w *workload) func(span) vector {
	switch {
	case w.kind != declarer.KindBatchJob:
		rate := m.longRunningRate(w)
		return func(s span) vector { return rate.scale(s.length()) }
	case w.batch.Calendar.Every == declarer.EveryWeek || w.batch.Calendar.Every == declarer.EveryMonth:
		return m.expectByRun(w)
	}
	return m.expectByWeekday(w)
}

// estimateBatchCorrection returns the ratio of reserved to declared processors over the past
// runs of batch jobs with a calendar, 1 if there are none.
func (m *model) estimateBatchCorrection() float64 {
	declared, reserved := 0.0, 0.0
	for _, w := range m.workloads {
		if w.kind != declarer.KindBatchJob || w.batch.Calendar.Every == declarer.EveryNone || w.batch.Name == "" {
			continue
		}
		for _, r := range w.runs {
			reserved += r[pricer.Processors]
			declared += declaredRun(w.batch)[pricer.Processors]
		}
	}
	if declared == 0 {
		return 1
	}
	return min(maxBatchCorrection, max(1/maxBatchCorrection, reserved/declared))
}

// declaredRun returns the declared reservations of one run of a batch job.
func declaredRun(b declarer.BatchJob) vector {
	return reservationRate(b.Size.Size()).scale(float64(b.RunTime) * float64(b.Tasks))
}
