package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Wave is the operator's request for the upkeep of a set of machines within a time
	// limit. Each machine goes down once.
	Wave struct {
		ID string
		// Cohort is the platform's number for the wave, which it expects in each order.
		Cohort   int64
		Machines []string
		// Limit is the time that the wave may take.
		Limit clock.Millis
		// MaxDown bounds the machines of the wave that may be down at a time. 0 counts as
		// 1.
		MaxDown int
		// SeenAt is when this host has first read the request, on the monotonic clock; 0
		// counts as now.
		SeenAt clock.Millis
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

	// UpkeepOrder is an order to the platform to take a machine down for its upkeep. All runs
	// on the machine end at once, and it comes back with a new worker.
	UpkeepOrder struct {
		Wave    string
		Cohort  int64
		Machine string
	}

	// UpkeepOutcome is the result of sending an UpkeepOrder.
	UpkeepOutcome int

	// WaveState is whether a wave is running or completed, as published to the operator.
	WaveState string

	// wave is a Wave with the progress of each of its machines.
	wave struct {
		spec     Wave
		deadline clock.Millis
		// machines has the progress of each machine by its ID.
		machines map[string]*waveMachine
		state    WaveState
		// published is the state that was last published to the operator.
		published WaveState
	}

	// waveMachine is a machine of a wave with its phase and its last known state on the
	// platform.
	waveMachine struct {
		id    string
		phase machinePhase
		// worker, up and inUpkeep are from the last list of machines before the machine
		// was ordered down; worker is an ID.
		worker       string
		up, inUpkeep bool
		// drainingSince is when the drain began, drainTimeout how long the runs on the
		// machine get to end or move before it is taken down.
		drainingSince, drainTimeout clock.Millis
		// orderInFlight is whether an order is unanswered; confirmedAt is when the
		// platform confirmed that the upkeep has begun, 0 before.
		orderInFlight bool
		confirmedAt   clock.Millis
		// unclear is whether the outcome of an order was UpkeepUnclear, so that it may
		// still be carried out.
		unclear bool
	}

	machinePhase int
)

// Outcomes of an UpkeepOrder.
const (
	// UpkeepBegun: the machine is down for its upkeep, because of this order or an
	// earlier one.
	UpkeepBegun UpkeepOutcome = iota
	// UpkeepBusy: the platform refused the order for now, as the machine is not up or is
	// draining.
	UpkeepBusy
	// UpkeepRejected: the machine does not exist or is not part of this wave.
	UpkeepRejected
	// UpkeepUnclear: no answer; the upkeep may have begun, or may still begin.
	UpkeepUnclear
)

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

const (
	// machineNotStarted: the machine is neither draining nor ordered down yet.
	machineNotStarted machinePhase = iota
	// machineDraining: the worker gets no new runs. Its runs end by themselves, or are
	// stopped if they can continue elsewhere.
	machineDraining
	// machineDown: the upkeep was ordered and has not ended.
	machineDown
	machineDone
)

const (
	// minDrainTimeout is the least drain timeout of a machine, also when its wave is
	// late: a stop that saves the state of a run takes less than half a second.
	minDrainTimeout = clock.Second
	// plannedDrainTime is the drain time of a machine that the plan of a wave assumes;
	// twice that is the longest drain timeout. Most runs end by themselves within it, as
	// the customers' tasks take 2 to 3 s.
	plannedDrainTime = 3 * clock.Second
	// waveRetryReserve is the part of a wave's time limit that its plan leaves free for
	// orders that have to be sent again.
	waveRetryReserve = 700 * clock.Millis(1)
	// upkeepPenalty is subtracted from the score of a worker whose machine is soon taken
	// down. Like the score it is a share of a worker's processors.
	upkeepPenalty = 0.5
)

// WithUpkeepLength sets how long a machine is down for its upkeep.
func WithUpkeepLength(d clock.Millis) Option { return func(s *Scheduler) { s.upkeepLength = d } }

// SetWaves sets the waves that the operator requests. Known waves keep their progress; in
// waves that are no longer requested, machines that were not ordered down yet stay up.
func (s *Scheduler) SetWaves(ws []Wave) {
	old := s.waves
	s.waves = make(map[string]*wave, len(ws))
	for _, w := range ws {
		if o := old[w.ID]; o != nil {
			s.waves[w.ID] = o
			delete(old, w.ID)
			continue
		}
		n := &wave{spec: w, deadline: cmp.Or(w.SeenAt, s.now()) + w.Limit, machines: map[string]*waveMachine{}, state: WaveRunning}
		for _, m := range w.Machines {
			n.machines[m] = &waveMachine{id: m}
		}
		s.waves[w.ID] = n
		s.emit(logger.WaveSeen, logger.String("wave", w.ID), logger.Int("machines", int64(len(w.Machines))),
			logger.Int("at-once", int64(w.MaxDown)), logger.Int("limit-ms", int64(w.Limit)))
	}
	for _, o := range old {
		for _, d := range o.machines {
			if d.phase != machineDown {
				s.endUpkeep(d)
			}
		}
	}
}

// WaveInProgress reports whether a wave is in progress or its completion is not published
// yet.
func (s *Scheduler) WaveInProgress() bool {
	for _, w := range s.waves {
		if w.published != WaveCompleted {
			return true
		}
	}
	return false
}

// WaveStates returns the states that differ from the published ones and have to be
// published, by wave.
func (s *Scheduler) WaveStates() map[string]WaveState {
	states := map[string]WaveState{}
	for id, w := range s.waves {
		if w.published != w.state {
			states[id] = w.state
		}
	}
	return states
}

// WaveStatePublished must be called when this leader has published the state of a wave to the
// operator, and for each state that a former leader has published.
func (s *Scheduler) WaveStatePublished(id string, state WaveState) {
	w := s.waves[id]
	if w == nil {
		return
	}
	w.published = state
	if state == WaveCompleted {
		w.state = state
	}
}

// ApplyMachineList applies the list of all machines that was requested from the platform at
// requestedAt. Then it drains and orders down the next machines of each wave.
func (s *Scheduler) ApplyMachineList(ms []Machine, requestedAt clock.Millis) {
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
			case d.confirmedAt == 0 || requestedAt <= d.confirmedAt:
			case m.Up:
				s.endUpkeep(d)
			default:
				// The worker's process is gone, and all of its runs with it.
				if o := s.workers[d.worker]; o != nil && o.upkeepStarted {
					s.dropWorker(o, "its machine is down for upkeep")
				}
			}
		}
		s.advanceWave(w)
	}
}

// endUpkeep marks a machine as done: its upkeep has ended, or none will take place
// because the machine is missing or its wave was withdrawn. If the machine still has the
// worker that it had before, that worker may get runs again.
func (s *Scheduler) endUpkeep(d *waveMachine) {
	d.phase = machineDone
	if o := s.workers[d.worker]; o != nil {
		o.upkeepDue, o.upkeepStarted = false, false
	}
}

// TakeUpkeepOrders removes and returns the orders to send. The outcome of each must be passed to
// UpkeepAnswered.
func (s *Scheduler) TakeUpkeepOrders() []UpkeepOrder {
	u := s.upkeepOrders
	s.upkeepOrders = nil
	return u
}

// UpkeepAnswered applies the outcome of an order.
func (s *Scheduler) UpkeepAnswered(u UpkeepOrder, out UpkeepOutcome) {
	w := s.waves[u.Wave]
	if w == nil || w.machines[u.Machine] == nil {
		return
	}
	d := w.machines[u.Machine]
	s.emit(logger.UpkeepAnswered, logger.String("wave", u.Wave), logger.String("machine", u.Machine), logger.Int("outcome", int64(out)))
	d.orderInFlight = false
	switch out {
	case UpkeepBegun:
		d.confirmedAt = s.now()
	case UpkeepBusy:
		if !d.unclear {
			d.phase = machineDraining
		}
	case UpkeepRejected:
		s.endUpkeep(d)
	case UpkeepUnclear:
		d.unclear = true
	}
}

func (s *Scheduler) orderUpkeep(w *wave, d *waveMachine) {
	d.orderInFlight = true
	s.upkeepOrders = append(s.upkeepOrders, UpkeepOrder{Wave: w.spec.ID, Cohort: w.spec.Cohort, Machine: d.id})
}

// advanceWave moves the machines of a wave to their next phases, those with the fewest
// runs first, and completes the wave when all machines are done.
func (s *Scheduler) advanceWave(w *wave) {
	if w.state == WaveCompleted {
		return
	}
	now := s.now()
	var notStarted []*waveMachine
	remaining, down, draining := 0, 0, 0
	for _, d := range w.machines {
		switch d.phase {
		case machineNotStarted:
			notStarted = append(notStarted, d)
		case machineDraining:
			draining++
		case machineDown:
			down++
			if d.confirmedAt == 0 && !d.orderInFlight {
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
	concurrency, drainTimeout := s.planConcurrency(w, remaining, now)
	slices.SortFunc(notStarted, func(a, b *waveMachine) int {
		return cmp.Or(cmp.Compare(s.runCount(a.worker), s.runCount(b.worker)), cmp.Compare(a.id, b.id))
	})
	for _, d := range notStarted {
		if draining+down >= concurrency {
			break
		}
		if !d.up {
			continue
		}
		d.phase, d.drainingSince, d.drainTimeout = machineDraining, now, drainTimeout
		draining++
	}
	available := s.availableWorkers(now)
	for _, m := range slices.Sorted(maps.Keys(w.machines)) {
		d := w.machines[m]
		o := s.workers[d.worker]
		if o != nil && d.phase != machineDone {
			o.upkeepDue = true
			o.upkeepStarted = o.upkeepStarted || d.phase != machineNotStarted
		}
		if d.phase == machineDraining && d.up && s.drainMachine(o, d, available, now) && down < max(w.spec.MaxDown, 1) {
			d.phase = machineDown
			down++
			s.orderUpkeep(w, d)
		}
	}
}

// planConcurrency returns how many machines of a wave should be draining or down at a
// time, and the drain timeout of each, so that the wave ends before its deadline.
func (s *Scheduler) planConcurrency(w *wave, remaining int, now clock.Millis) (concurrency int, drainTimeout clock.Millis) {
	timeLeft := max(w.deadline-waveRetryReserve-now, 1)
	timePerMachine := s.upkeepLength + plannedDrainTime
	concurrency = int((clock.Millis(remaining)*timePerMachine + timeLeft - 1) / timeLeft)
	atOnce := max(w.spec.MaxDown, 1)
	downAtOnce := max(1, min(concurrency, remaining, atOnce))
	drainTimeout = timeLeft*clock.Millis(downAtOnce)/clock.Millis(remaining) - s.upkeepLength
	// If MaxDown limits the wave, the next machines drain while others are down, so the
	// concurrency may be twice as high.
	return max(1, min(concurrency, remaining, 2*atOnce)), max(minDrainTimeout, min(drainTimeout, 2*plannedDrainTime))
}

func (s *Scheduler) runCount(worker string) int {
	if w := s.workers[worker]; w != nil {
		return len(w.tasks)
	}
	return 0
}

// drainMachine stops the runs of a machine that can continue elsewhere, and reports
// whether the machine may be taken down: it has no runs left, or its drain has timed out
// and none of its tasks has a bound on unavailable tasks.
func (s *Scheduler) drainMachine(w *worker, d *waveMachine, available []*worker, now clock.Millis) bool {
	if w == nil || len(w.tasks) == 0 {
		return true
	}
	timedOut := now-d.drainingSince >= d.drainTimeout
	hasUnavailabilityBound := false
	for _, t := range w.tasks {
		step := t.spec()
		if step.MaxUnavailable > 0 && t.state != pending {
			hasUnavailabilityBound = true
		}
		switch {
		case t.state != running || t.stopping || step.Gang:
		case !step.LongRunning && !step.Checkpointing:
		case step.MaxUnavailable > 0 && t.unavailableOthers() >= step.MaxUnavailable:
		case timedOut || s.hasRoom(t, available):
			s.emit(logger.RunRelocated, logger.String("task", t.name().String()), logger.String("worker", w.info.ID), logger.String("why", "upkeep"))
			s.stop(t)
		}
	}
	return timedOut && !hasUnavailabilityBound
}

// unavailableOthers returns the number of other tasks of the step that are not running,
// are being stopped, or are below 100 percent.
func (t *task) unavailableOthers() int {
	n := 0
	for _, o := range t.occurrence.steps[t.step] {
		if o != t && (o.state != running || o.stopping || o.percent < 100) {
			n++
		}
	}
	return n
}
