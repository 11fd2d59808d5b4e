package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Wave asks that each of some machines of workers has its upkeep in time.
	Wave struct {
		ID       string
		Cohort   int64
		Machines []string
		// Limit is the time that the wave may take.
		Limit clock.Millis
		// AtOnce bounds the machines that are down for it at a time.
		AtOnce int
	}

	// Machine is what the platform says of a machine.
	Machine struct {
		ID string
		// Worker is the one that it runs, or ran last.
		Worker string
		Up     bool
		// InUpkeep is whether it is down for an upkeep.
		InUpkeep bool
	}

	// Upkeep is an order to take a machine down for its upkeep. All that runs on it
	// ends at once; a new worker comes after.
	Upkeep struct {
		Wave    string
		Cohort  int64
		Machine string
	}

	// UpkeepOutcome is what is known of an Upkeep after its call.
	UpkeepOutcome int

	// WaveState is how far a wave is.
	WaveState string

	// wave is a Wave under way.
	wave struct {
		spec  Wave
		until clock.Millis
		// duties are the machines by id.
		duties map[string]*duty
		state  WaveState
		// published is the state that the operator was told.
		published WaveState
	}

	// duty is the upkeep of one machine.
	duty struct {
		machine string
		phase   dutyPhase
		// worker is the one that the machine ran when it was last listed.
		worker       string
		up, inUpkeep bool
		// since is when the phase began; patience is how long the machine's runs may
		// take to leave it.
		since, patience clock.Millis
		// sending is whether an order is on its way; answered is when the last one was.
		sending  bool
		answered clock.Millis
		// unclear is whether an order was not answered, so that it may be carried out
		// yet.
		unclear bool
	}

	dutyPhase int
)

// Outcomes of an Upkeep.
const (
	// UpkeepBegun: the machine is down, or was already.
	UpkeepBegun UpkeepOutcome = iota
	// UpkeepBusy: the machine is not up, or leaves.
	UpkeepBusy
	// UpkeepForeign: there is no such machine, or it is not of this wave.
	UpkeepForeign
	// UpkeepUnclear: no answer; it may have begun, or begin yet.
	UpkeepUnclear
)

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

const (
	dutyDue dutyPhase = iota
	// dutyEmptying machines get nothing new; what runs there leaves.
	dutyEmptying
	// dutyDown machines were ordered into their upkeep.
	dutyDown
	dutyOver
)

const (
	// leastPatience is how long the runs of a machine have at least to leave it: to
	// stop, with their state saved, takes less than half a second.
	leastPatience = clock.Second
	// usualPatience lets most runs end by themselves; the users' tasks take 2 to 3 s.
	usualPatience = 3 * clock.Second
	// waveReserve is left of the time of a wave for calls that have to be repeated.
	waveReserve = 700 * clock.Millis(1)
	// duePenalty keeps tasks from machines that are soon taken down, as a share of a
	// whole worker.
	duePenalty = 0.5
)

// WithUpkeepLength sets how long a machine is down for its upkeep.
func WithUpkeepLength(d clock.Millis) Option { return func(s *Scheduler) { s.upkeepLength = d } }

// SetWaves replaces the waves that the operator asks for.
func (s *Scheduler) SetWaves(ws []Wave) {
	old := s.waves
	s.waves = make(map[string]*wave, len(ws))
	for _, w := range ws {
		if o := old[w.ID]; o != nil {
			s.waves[w.ID] = o
			delete(old, w.ID)
			continue
		}
		n := &wave{spec: w, until: s.now() + w.Limit, duties: map[string]*duty{}, state: WaveRunning}
		for _, m := range w.Machines {
			n.duties[m] = &duty{machine: m}
		}
		s.waves[w.ID] = n
		s.emit(logger.WaveSeen, logger.String("wave", w.ID), logger.Int("machines", int64(len(w.Machines))),
			logger.Int("at-once", int64(w.AtOnce)), logger.Int("limit-ms", int64(w.Limit)))
	}
	for _, o := range old {
		for _, d := range o.duties {
			if d.phase != dutyDown {
				s.conclude(d)
			}
		}
	}
}

// Maintaining reports whether a wave is under way, or its end not yet published.
func (s *Scheduler) Maintaining() bool {
	for _, w := range s.waves {
		if w.published != WaveCompleted {
			return true
		}
	}
	return false
}

// WaveStates returns the states that are to be published, by wave.
func (s *Scheduler) WaveStates() map[string]WaveState {
	states := map[string]WaveState{}
	for id, w := range s.waves {
		if w.published != w.state {
			states[id] = w.state
		}
	}
	return states
}

// Published takes note that the operator was told the state of a wave, by this leader
// or by a former one.
func (s *Scheduler) Published(id string, state WaveState) {
	w := s.waves[id]
	if w == nil {
		return
	}
	w.published = state
	if state == WaveCompleted {
		w.state = state
	}
}

// ListMachines takes in all machines of the platform, as they were at a time. Waves go
// on only after it.
func (s *Scheduler) ListMachines(ms []Machine, asked clock.Millis) {
	byID := make(map[string]Machine, len(ms))
	for _, m := range ms {
		byID[m.ID] = m
	}
	for _, w := range s.waves {
		for _, d := range w.duties {
			m, ok := byID[d.machine]
			switch {
			case !ok:
				s.conclude(d)
			case d.phase != dutyDown:
				d.worker, d.up, d.inUpkeep = m.Worker, m.Up, m.InUpkeep
			case d.answered == 0 || asked <= d.answered:
			case m.Up:
				s.conclude(d)
			default:
				// That life of the worker is over, with all its runs.
				if o := s.workers[d.worker]; o != nil && o.upkeep {
					s.forget(o)
				}
			}
		}
		s.advance(w)
	}
}

// conclude ends the upkeep of a machine. Its worker, if it still has the former one,
// may be used again.
func (s *Scheduler) conclude(d *duty) {
	d.phase = dutyOver
	if o := s.workers[d.worker]; o != nil {
		o.due, o.upkeep = false, false
	}
}

// Upkeeps returns the orders that are due. Each must be answered by UpkeepAnswered.
func (s *Scheduler) Upkeeps() []Upkeep {
	u := s.upkeeps
	s.upkeeps = nil
	return u
}

// UpkeepAnswered takes in the outcome of an order.
func (s *Scheduler) UpkeepAnswered(u Upkeep, out UpkeepOutcome) {
	w := s.waves[u.Wave]
	if w == nil || w.duties[u.Machine] == nil {
		return
	}
	d := w.duties[u.Machine]
	s.emit(logger.UpkeepAnswered, logger.String("wave", u.Wave), logger.String("machine", u.Machine), logger.Int("outcome", int64(out)))
	d.sending = false
	switch out {
	case UpkeepBegun:
		d.answered = s.now()
	case UpkeepBusy:
		if !d.unclear {
			d.phase, d.since = dutyEmptying, s.now()
		}
	case UpkeepForeign:
		s.conclude(d)
	case UpkeepUnclear:
		d.unclear = true
	}
}

func (s *Scheduler) orderUpkeep(w *wave, d *duty) {
	d.sending = true
	s.upkeeps = append(s.upkeeps, Upkeep{Wave: w.spec.ID, Cohort: w.spec.Cohort, Machine: d.machine})
}

// advance moves the machines of a wave on.
func (s *Scheduler) advance(w *wave) {
	if w.state == WaveCompleted {
		return
	}
	now := s.now()
	var due []*duty
	left, down, emptying := 0, 0, 0
	for _, d := range w.duties {
		switch d.phase {
		case dutyDue:
			due = append(due, d)
		case dutyEmptying:
			emptying++
		case dutyDown:
			down++
			if d.answered == 0 && !d.sending {
				s.orderUpkeep(w, d)
			}
		}
		if d.inUpkeep && d.phase < dutyDown {
			// Ordered by a former leader.
			down++
		}
		if d.phase != dutyOver {
			left++
		}
	}
	if left == 0 {
		w.state = WaveCompleted
		s.emit(logger.WaveOver, logger.String("wave", w.spec.ID), logger.Int("early-ms", int64(w.until-now)))
		return
	}
	batch, patience := s.paceOf(w, left, now)
	slices.SortFunc(due, func(a, b *duty) int {
		return cmp.Or(cmp.Compare(s.runsOn(a.worker), s.runsOn(b.worker)), cmp.Compare(a.machine, b.machine))
	})
	for _, d := range due {
		if emptying+down >= batch {
			break
		}
		if !d.up {
			continue
		}
		d.phase, d.since, d.patience = dutyEmptying, now, patience
		emptying++
	}
	usable := s.usable(now)
	for _, m := range slices.Sorted(maps.Keys(w.duties)) {
		d := w.duties[m]
		o := s.workers[d.worker]
		if o != nil && d.phase != dutyOver {
			o.due = true
			o.upkeep = o.upkeep || d.phase != dutyDue
		}
		if d.phase == dutyEmptying && d.up && s.empty(o, d, usable, now) && down < max(w.spec.AtOnce, 1) {
			d.phase, d.since = dutyDown, now
			down++
			s.orderUpkeep(w, d)
		}
	}
}

// paceOf returns how many machines of a wave to work on at a time, and how long the
// runs of each may take to leave, so that all are done in time.
func (s *Scheduler) paceOf(w *wave, left int, now clock.Millis) (batch int, patience clock.Millis) {
	rest := max(w.until-waveReserve-now, 1)
	slot := s.upkeepLength + usualPatience
	batch = int((clock.Millis(left)*slot + rest - 1) / rest)
	atOnce := max(w.spec.AtOnce, 1)
	parallel := max(1, min(batch, left, atOnce))
	patience = rest*clock.Millis(parallel)/clock.Millis(left) - s.upkeepLength
	// Where the bound on machines that are down holds the wave up, the next ones are
	// emptied meanwhile.
	return max(1, min(batch, left, 2*atOnce)), max(leastPatience, min(patience, 2*usualPatience))
}

func (s *Scheduler) runsOn(worker string) int {
	if w := s.workers[worker]; w != nil {
		return len(w.tasks)
	}
	return 0
}

// empty moves the runs of a machine elsewhere and reports whether it may go down.
func (s *Scheduler) empty(w *worker, d *duty, usable []*worker, now clock.Millis) bool {
	if w == nil || len(w.tasks) == 0 {
		return true
	}
	late := now-d.since >= d.patience
	held := false
	for _, t := range w.tasks {
		step := t.spec()
		if step.MaxUnavailable > 0 && t.state != pending {
			held = true
		}
		switch {
		case t.state != running || t.stopping || step.Gang:
		case !step.LongRunning && !step.Checkpointing:
		case step.MaxUnavailable > 0 && t.othersAway() >= step.MaxUnavailable:
		case late || s.hasRoom(t, usable):
			s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.String("why", "upkeep"))
			s.stop(t)
		}
	}
	return late && !held
}

// othersAway counts the other tasks of the step that are not at work.
func (t *task) othersAway() int {
	n := 0
	for _, o := range t.occurrence.steps[t.step] {
		if o != t && (o.state != running || o.stopping || o.percent < 100) {
			n++
		}
	}
	return n
}
