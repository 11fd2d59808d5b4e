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
	// model expects what works hold on the days to come, from what is known
	// up to a day.
	model struct {
		h *history
		// known is the number of days that are known.
		known int
		state *declarer.State
		// trusting takes declarations as they stand. Looking back, it doesn't,
		// since they may not have stood so then.
		trusting bool
		growth   float64
		works    []*work
		// correction is what batch jobs hold for what they declare.
		correction float64
	}

	// work is a service or job, and what it is expected to hold.
	work struct {
		name  string
		team  string
		past  *past
		kind  declarer.Kind
		batch declarer.BatchJob
		// unit is what one task is declared to hold in a millisecond, and rate
		// what all replicas of standing work are.
		unit vector
		rate vector
		// runs is what its last runs held, where it has a calendar.
		runs   []vector
		expect func(day span) vector
		shares map[string]float64
		// sizeFactor and timeFactor are how much larger and longer tasks are
		// than those that ran so far.
		sizeFactor float64
		timeFactor float64
	}

	// span is a day to come, or the part of today that has no records.
	span struct {
		start clock.Millis
		from  clock.Millis
		until clock.Millis
	}
)

const (
	activeDays = 28
)

func (s span) length() float64 { return float64(s.until - s.from) }

// portion gives how much of the day is in the span.
func (s span) portion(h *history) float64 {
	return s.length() / float64(pricer.NextDay(s.start, h.zone)-s.start)
}

func newModel(h *history, known int, s *declarer.State, trusting bool) *model {
	m := &model{h: h, known: known, state: s, trusting: trusting, correction: 1}
	m.declare()
	m.undeclared()
	slices.SortFunc(m.works, func(a, b *work) int { return cmp.Compare(a.name, b.name) })
	for _, w := range m.works {
		w.runs = m.runsOf(w)
	}
	m.growth = m.growthOf()
	m.correction = m.correctionOf()
	for _, w := range m.works {
		w.expect = m.expectation(w)
		w.shares = m.sharesOf(w)
	}
	return m
}

func (m *model) declare() {
	for _, s := range m.state.Services() {
		unit := rateOf(s.Size.Size())
		m.add(&work{name: s.Name, team: s.Team, kind: declarer.KindService, unit: unit, rate: unit.times(float64(s.Replicas))})
	}
	for _, w := range m.state.WatchJobs() {
		unit := rateOf(w.Size.Size())
		m.add(&work{name: w.Name, team: w.Team, kind: declarer.KindWatchJob, unit: unit, rate: unit})
	}
	for _, b := range m.state.BatchJobs() {
		m.add(&work{name: b.Name, team: b.Team, kind: declarer.KindBatchJob, unit: rateOf(b.Size.Size()), batch: b})
	}
}

// undeclared adds, looking back, the works that ended since. Looking ahead, work
// that is no longer declared holds nothing.
func (m *model) undeclared() {
	if m.trusting {
		return
	}
	declared := map[string]bool{}
	for _, w := range m.works {
		declared[w.name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(m.h.works)) {
		if !declared[name] && m.ran(m.h.works[name], activeDays) {
			m.add(&work{name: name, team: m.h.works[name].team, kind: declarer.KindBatchJob})
		}
	}
}

func (m *model) add(w *work) {
	w.sizeFactor, w.timeFactor = 1, 1
	w.past = m.h.works[w.name]
	if w.past == nil {
		w.past = &past{team: w.team}
	}
	if m.trusting || m.ran(w.past, m.known) {
		m.works = append(m.works, w)
	}
}

// ran tells whether a work held something in the last days that are known.
func (m *model) ran(p *past, days int) bool {
	for d := max(0, m.known-days); d < m.known; d++ {
		if !p.total(d).isZero() {
			return true
		}
	}
	return false
}

func (m *model) expectation(w *work) func(span) vector {
	switch {
	case w.kind != declarer.KindBatchJob:
		rate := m.standingRate(w)
		return func(s span) vector { return rate.times(s.length()) }
	case w.batch.Calendar.Every == declarer.EveryWeek || w.batch.Calendar.Every == declarer.EveryMonth:
		return m.byRun(w)
	}
	return m.byWeekday(w)
}

// correctionOf gives what batch jobs with a calendar held for each unit that
// they declare.
func (m *model) correctionOf() float64 {
	declared, held := 0.0, 0.0
	for _, w := range m.works {
		if w.kind != declarer.KindBatchJob || w.batch.Calendar.Every == declarer.EveryNone || w.batch.Name == "" {
			continue
		}
		for _, r := range w.runs {
			held += r[pricer.Processors]
			declared += declaredRun(w.batch)[pricer.Processors]
		}
	}
	if declared == 0 {
		return 1
	}
	return min(maxCorrection, max(1/maxCorrection, held/declared))
}

// declaredRun gives what a run of a job is declared to hold.
func declaredRun(b declarer.BatchJob) vector {
	return rateOf(b.Size.Size()).times(float64(b.RunTime) * float64(b.Tasks))
}
