package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Wave is the operator's request to take a set of machines down, one time each, for
	// their upkeep within a time limit.
	Wave struct {
		ID       string
		Cohort   int64
		Machines []string
		// Limit is the time that the wave may take.
		Limit clock.Millis
		// AtOnce bounds the machines of the wave that may be down at a time.
		AtOnce int
	}

	// Machine is the platform's state of a machine.
	Machine struct {
		ID string
		// Worker is the ID of the machine's current or last worker.
		Worker string
		Up     bool
		// InUpkeep is whether the machine is down for its upkeep.
		InUpkeep bool
	}

	// Upkeep is an order to take a machine down for its upkeep. All of its runs end at
	// once; it comes back with a new worker.
	Upkeep struct {
		Wave    string
		Cohort  int64
		Machine string
	}

	// UpkeepOutcome is the result of sending an Upkeep.
	UpkeepOutcome int

	// WaveState is the progress of a wave.
	WaveState string

	// wave is the state of a Wave.
	wave struct {
		spec     Wave
		deadline clock.Millis
		// machines by ID.
		machines map[string]*waveMachine
		state    WaveState
		// published is the state that was last published to the operator.
		published WaveState
	}

	// waveMachine is the progress of one machine of a wave.
	waveMachine struct {
		id    string
		phase machinePhase
		// worker is the ID of the machine's worker in the last list of machines.
		worker       string
		up, inUpkeep bool
		// phaseSince is when the phase began, drainTimeout how long the machine's runs
		// may take to leave it.
		phaseSince, drainTimeout clock.Millis
		// orderInFlight is whether an order is unanswered; answeredAt is when the
		// platform confirmed one, 0 before.
		orderInFlight bool
		answeredAt    clock.Millis
		// unclear is whether an order was not answered, so that it may still be carried
		// out.
		unclear bool
	}

	machinePhase int
)

// Outcomes of an Upkeep.
const (
	// UpkeepBegun: the machine is down for its upkeep, now or before.
	UpkeepBegun UpkeepOutcome = iota
	// UpkeepBusy: the machine is not up, or is draining.
	UpkeepBusy
	// UpkeepForeign: the machine does not exist or is not part of this wave.
	UpkeepForeign
	// UpkeepUnclear: no answer; the upkeep may have begun, or may still begin.
	UpkeepUnclear
)

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

const (
	machineDue machinePhase = iota
	// machineDraining: the machine gets no new runs, and its runs are moved.
	machineDraining
	// machineDown: the machine was ordered into its upkeep.
	machineDown
	machineDone
)

const (
	// minDrainTimeout is the least time for the runs of a machine to leave it: a stop
	// that saves the state of a run takes less than half a second.
	minDrainTimeout = clock.Second
	// defaultDrainTimeout lets most runs end by themselves; the customers' tasks take 2
	// to 3 s.
	defaultDrainTimeout = 3 * clock.Second
	// waveRetryReserve is the part of a wave's time that is reserved for repeated calls.
	waveRetryReserve = 700 * clock.Millis(1)
	// upkeepPenalty is the score penalty of a worker whose machine is soon taken down, as
	// a share of a whole worker.
	upkeepPenalty = 0.5
)

// WithUpkeepLength sets how long a machine is down for its upkeep.
func WithUpkeepLength(d clock.Millis) Option { return func(s *Scheduler) { s.upkeepLength = d } }

// SetWaves replaces the waves that the operator requests.
func (s *Scheduler) SetWaves(ws []Wave) {
	old := s.waves
	s.waves = make(map[string]*wave, len(ws))
	for _, w := range ws {
		if o := old[w.ID]; o != nil {
			s.waves[w.ID] = o
			delete(old, w.ID)
			continue
		}
		n := &wave{spec: w, deadline: s.now() + w.Limit, machines: map[string]*waveMachine{}, state: WaveRunning}
		for _, m := range w.Machines {
			n.machines[m] = &waveMachine{id: m}
		}
		s.waves[w.ID] = n
		s.emit(logger.WaveSeen, logger.String("wave", w.ID), logger.Int("machines", int64(len(w.Machines))),
			logger.Int("at-once", int64(w.AtOnce)), logger.Int("limit-ms", int64(w.Limit)))
	}
	for _, o := range old {
		for _, d := range o.machines {
			if d.phase != machineDown {
				s.endUpkeep(d)
			}
		}
	}
}

// Maintaining reports whether a wave is in progress, or its completion not yet published.
func (s *Scheduler) Maintaining() bool {
	for _, w := range s.waves {
		if w.published != WaveCompleted {
			return true
		}
	}
	return false
}

// WaveStates returns the states that have to be published, by wave.
func (s *Scheduler) WaveStates() map[string]WaveState {
	states := map[string]WaveState{}
	for id, w := range s.waves {
		if w.published != w.state {
			states[id] = w.state
		}
	}
	return states
}

// Published records that this leader or a former one has published the state of a wave to
// the operator.
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

// ListMachines applies a list of all machines of the platform that was requested at
// asked. Only then do waves advance.
func (s *Scheduler) ListMachines(ms []Machine, asked clock.Millis) {
	byID := make(map[string]Machine, len(ms))
	for _, m := range ms {
		byID[m.ID] = m
	}
	for _, w := range s.waves {
		for _, d := range w.machines {
			m, ok := byID[d.id]
			switch {
			case !ok:
				s.endUpkeep(d)
			case d.phase != machineDown:
				d.worker, d.up, d.inUpkeep = m.Worker, m.Up, m.InUpkeep
			case d.answeredAt == 0 || asked <= d.answeredAt:
			case m.Up:
				s.endUpkeep(d)
			default:
				// The worker's process is gone, and all of its runs with it.
				if o := s.workers[d.worker]; o != nil && o.upkeepStarted {
					s.dropWorker(o)
				}
			}
		}
		s.advanceWave(w)
	}
}

// endUpkeep ends the upkeep of a machine. If its worker is still the former one, it gets
// runs again.
func (s *Scheduler) endUpkeep(d *waveMachine) {
	d.phase = machineDone
	if o := s.workers[d.worker]; o != nil {
		o.upkeepDue, o.upkeepStarted = false, false
	}
}

// Upkeeps returns the orders that are due. The outcome of each must be passed to
// UpkeepAnswered.
func (s *Scheduler) Upkeeps() []Upkeep {
	u := s.upkeepOrders
	s.upkeepOrders = nil
	return u
}

// UpkeepAnswered applies the outcome of an order.
func (s *Scheduler) UpkeepAnswered(u Upkeep, out UpkeepOutcome) {
	w := s.waves[u.Wave]
	if w == nil || w.machines[u.Machine] == nil {
		return
	}
	d := w.machines[u.Machine]
	s.emit(logger.UpkeepAnswered, logger.String("wave", u.Wave), logger.String("machine", u.Machine), logger.Int("outcome", int64(out)))
	d.orderInFlight = false
	switch out {
	case UpkeepBegun:
		d.answeredAt = s.now()
	case UpkeepBusy:
		if !d.unclear {
			d.phase, d.phaseSince = machineDraining, s.now()
		}
	case UpkeepForeign:
		s.endUpkeep(d)
	case UpkeepUnclear:
		d.unclear = true
	}
}

func (s *Scheduler) orderUpkeep(w *wave, d *waveMachine) {
	d.orderInFlight = true
	s.upkeepOrders = append(s.upkeepOrders, Upkeep{Wave: w.spec.ID, Cohort: w.spec.Cohort, Machine: d.id})
}

// advanceWave moves the machines of a wave to their next phases.
func (s *Scheduler) advanceWave(w *wave) {
	if w.state == WaveCompleted {
		return
	}
	now := s.now()
	var due []*waveMachine
	remaining, down, draining := 0, 0, 0
	for _, d := range w.machines {
		switch d.phase {
		case machineDue:
			due = append(due, d)
		case machineDraining:
			draining++
		case machineDown:
			down++
			if d.answeredAt == 0 && !d.orderInFlight {
				s.orderUpkeep(w, d)
			}
		}
		if d.inUpkeep && d.phase < machineDown {
			// A former leader sent the order.
			down++
		}
		if d.phase != machineDone {
			remaining++
		}
	}
	if remaining == 0 {
		w.state = WaveCompleted
		s.emit(logger.WaveOver, logger.String("wave", w.spec.ID), logger.Int("early-ms", int64(w.deadline-now)))
		return
	}
	batch, drainTimeout := s.planBatch(w, remaining, now)
	slices.SortFunc(due, func(a, b *waveMachine) int {
		return cmp.Or(cmp.Compare(s.runCount(a.worker), s.runCount(b.worker)), cmp.Compare(a.id, b.id))
	})
	for _, d := range due {
		if draining+down >= batch {
			break
		}
		if !d.up {
			continue
		}
		d.phase, d.phaseSince, d.drainTimeout = machineDraining, now, drainTimeout
		draining++
	}
	available := s.availableWorkers(now)
	for _, m := range slices.Sorted(maps.Keys(w.machines)) {
		d := w.machines[m]
		o := s.workers[d.worker]
		if o != nil && d.phase != machineDone {
			o.upkeepDue = true
			o.upkeepStarted = o.upkeepStarted || d.phase != machineDue
		}
		if d.phase == machineDraining && d.up && s.drainMachine(o, d, available, now) && down < max(w.spec.AtOnce, 1) {
			d.phase, d.phaseSince = machineDown, now
			down++
			s.orderUpkeep(w, d)
		}
	}
}

// planBatch returns how many machines of a wave to drain or take down at a time, and how
// long the runs of each may take to leave, so that the wave ends in time.
func (s *Scheduler) planBatch(w *wave, remaining int, now clock.Millis) (batch int, drainTimeout clock.Millis) {
	timeLeft := max(w.deadline-waveRetryReserve-now, 1)
	slot := s.upkeepLength + defaultDrainTimeout
	batch = int((clock.Millis(remaining)*slot + timeLeft - 1) / timeLeft)
	atOnce := max(w.spec.AtOnce, 1)
	parallel := max(1, min(batch, remaining, atOnce))
	drainTimeout = timeLeft*clock.Millis(parallel)/clock.Millis(remaining) - s.upkeepLength
	// Where the bound on machines that are down limits the wave, the next ones are
	// drained meanwhile.
	return max(1, min(batch, remaining, 2*atOnce)), max(minDrainTimeout, min(drainTimeout, 2*defaultDrainTimeout))
}

func (s *Scheduler) runCount(worker string) int {
	if w := s.workers[worker]; w != nil {
		return len(w.tasks)
	}
	return 0
}

// drainMachine moves the runs of a machine elsewhere and reports whether the machine may
// be taken down.
func (s *Scheduler) drainMachine(w *worker, d *waveMachine, available []*worker, now clock.Millis) bool {
	if w == nil || len(w.tasks) == 0 {
		return true
	}
	late := now-d.phaseSince >= d.drainTimeout
	bounded := false
	for _, t := range w.tasks {
		step := t.spec()
		if step.MaxUnavailable > 0 && t.state != pending {
			bounded = true
		}
		switch {
		case t.state != running || t.stopping || step.Gang:
		case !step.LongRunning && !step.Checkpointing:
		case step.MaxUnavailable > 0 && t.unavailableOthers() >= step.MaxUnavailable:
		case late || s.hasRoom(t, available):
			s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.String("why", "upkeep"))
			s.stop(t)
		}
	}
	return late && !bounded
}

// unavailableOthers counts the other tasks of the step that are not working.
func (t *task) unavailableOthers() int {
	n := 0
	for _, o := range t.occurrence.steps[t.step] {
		if o != t && (o.state != running || o.stopping || o.percent < 100) {
			n++
		}
	}
	return n
}
