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
	// model predicts the reservations of workloads from the history up to a day.
	model struct {
		history *history
		// knownDays is the number of days of the history that the model may use.
		knownDays int
		state     *declarer.State
		// useDeclarations is false in backtests, where the current declarations may
		// not have been in force.
		useDeclarations bool
		growth          float64
		workloads       []*workload
		// correction is the ratio of reserved to declared amounts of batch jobs.
		correction float64
	}

	// workload is a service or job and its expected reservations.
	workload struct {
		name    string
		team    string
		history *workHistory
		kind    declarer.Kind
		batch   declarer.BatchJob
		// taskRate is the declared reservation of one task per millisecond.
		// declaredRate is that of all replicas of a long-running workload.
		taskRate     vector
		declaredRate vector
		// runs is the reservations of its last runs, if it has a calendar.
		runs   []vector
		expect func(day span) vector
		shares map[string]float64
		// sizeFactor and timeFactor are the declared size and run time of a task in
		// a what-if forecast, relative to those of the past runs.
		sizeFactor float64
		timeFactor float64
	}

	// span is a future day, or the part of today that has no records. It is
	// [from, until) in the day that begins at dayStart.
	span struct {
		dayStart clock.Millis
		from     clock.Millis
		until    clock.Millis
	}
)

const (
	activeDays = 28
)

func (s span) length() float64 { return float64(s.until - s.from) }

// dayFraction returns the part of the day that is in the span.
func (s span) dayFraction(h *history) float64 {
	return s.length() / float64(pricer.NextDay(s.dayStart, h.zone)-s.dayStart)
}

func newModel(h *history, knownDays int, s *declarer.State, useDeclarations bool) *model {
	m := &model{history: h, knownDays: knownDays, state: s, useDeclarations: useDeclarations, correction: 1}
	m.addDeclared()
	m.addEnded()
	slices.SortFunc(m.workloads, func(a, b *workload) int { return cmp.Compare(a.name, b.name) })
	for _, w := range m.workloads {
		w.runs = m.pastRuns(w)
	}
	m.growth = m.estimateGrowth()
	m.correction = m.estimateCorrection()
	for _, w := range m.workloads {
		w.expect = m.expectationOf(w)
		w.shares = m.dataCentreShares(w)
	}
	return m
}

func (m *model) addDeclared() {
	for _, s := range m.state.Services() {
		taskRate := rateOf(s.Size.Size())
		m.add(&workload{name: s.Name, team: s.Team, kind: declarer.KindService, taskRate: taskRate, declaredRate: taskRate.scale(float64(s.Replicas))})
	}
	for _, w := range m.state.WatchJobs() {
		taskRate := rateOf(w.Size.Size())
		m.add(&workload{name: w.Name, team: w.Team, kind: declarer.KindWatchJob, taskRate: taskRate, declaredRate: taskRate})
	}
	for _, b := range m.state.BatchJobs() {
		m.add(&workload{name: b.Name, team: b.Team, kind: declarer.KindBatchJob, taskRate: rateOf(b.Size.Size()), batch: b})
	}
}

// addEnded adds workloads of a backtest that were active then and are no longer declared.
// In a forecast these reserve nothing.
func (m *model) addEnded() {
	if m.useDeclarations {
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

func (m *model) add(w *workload) {
	w.sizeFactor, w.timeFactor = 1, 1
	w.history = m.history.workloads[w.name]
	if w.history == nil {
		w.history = &workHistory{team: w.team}
	}
	if m.useDeclarations || m.ranWithin(w.history, m.knownDays) {
		m.workloads = append(m.workloads, w)
	}
}

// ranWithin reports whether a workload had reservations on any of the last known days.
func (m *model) ranWithin(p *workHistory, days int) bool {
	for d := max(0, m.knownDays-days); d < m.knownDays; d++ {
		if !p.total(d).isZero() {
			return true
		}
	}
	return false
}

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

// estimateCorrection returns the ratio of reserved to declared processors over the past runs
// of batch jobs with a calendar.
func (m *model) estimateCorrection() float64 {
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
	return min(maxCorrection, max(1/maxCorrection, reserved/declared))
}

// declaredRun returns the declared reservations of one run of a batch job.
func declaredRun(b declarer.BatchJob) vector {
	return rateOf(b.Size.Size()).scale(float64(b.RunTime) * float64(b.Tasks))
}
