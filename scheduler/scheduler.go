package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/sharer"
)

type (
	// Scheduler holds all jobs and workers of a deployment. It is not safe for concurrent
	// use.
	Scheduler struct {
		// now is the monotonic clock, for durations and leases; wall is the Unix time,
		// for times that are stored.
		now  func() clock.Millis
		wall func() clock.Millis
		emit func(logger.Event, ...logger.Field)
		// onFirstStart is called with the time from the acceptance of a job to its first
		// start.
		onFirstStart func(clock.Millis)
		// onCrash is called with the number of runs of a worker that has crashed.
		onCrash func(runs int)
		// onGivenUp is called when a task is given up because workers crash that start it.
		onGivenUp func()

		// leaseLength is how long a worker keeps its runs without hearing from the
		// leader.
		leaseLength clock.Millis
		// retention is how long the state of an ended job is kept.
		retention clock.Millis
		// violationLimit is how long fillers may make a serving task violate its
		// objective.
		violationLimit clock.Millis
		// remoteFactor is the factor by which a task runs longer outside the rack of its
		// data, and a colocated gang across racks.
		remoteFactor float64

		// jobs has all jobs by ID, active those that have not ended.
		jobs    map[string]*job
		active  map[*job]struct{}
		workers map[string]*worker
		// earlyCancels is the number of jobs that are unsubmitted.
		earlyCancels int
		// depositsReadAt is as of when all deposits in the store are known, 0 if there are none to know.
		depositsReadAt clock.Millis
		// workersByID are the workers ordered by ID, nil after a change of workers.
		workersByID []*worker
		// evacuatedDataCentres are the data centres where nothing may start.
		evacuatedDataCentres map[string]bool
		// sensitivities are keyed by the image of the serving tasks. periodSelector is
		// shared by all baselines.
		sensitivities  map[string]*sensitivity
		periodSelector *periodSelector
		// racks are the racks with an available worker in the last round of placing.
		racks map[string]bool
		// meanWorkByQueue is the mean declared work of the jobs of each queue, in
		// core-seconds.
		meanWorkByQueue map[string]float64
		// fillersWaiting is whether fillers found no room in the last round of placing.
		fillersWaiting bool
		// round is the number of the current round of placing. It starts at 1, so that 0 is none
		// in a worker's availableIn and reservedIn.
		round    int
		searches searchCache
		// searchOffset is the index of the first worker to consider for a task. It
		// advances with each task to spread the load.
		searchOffset int
		// startsLeft is how many runs the current round of placing may still create.
		startsLeft int
		// modelsBatchedAt is when a batch last included the models.
		modelsBatchedAt clock.Millis

		// loadedChunks are the chunks that were loaded before their jobs, by job and key.
		loadedChunks map[string]map[string]chunkRecord
		// dirty has the jobs whose records are part of the next batch, deletedKeys the keys
		// of the records that it deletes. orders, replies and acks belong to it too.
		dirty       map[*job]struct{}
		deletedKeys []string
		orders      []Order
		// immediate has the orders that may be sent without waiting for a batch to be
		// stored.
		immediate []Order
		replies   []reply
		acks      map[string]Ack
		// consultations are the requests to the policy service that the last round of
		// placing queued, the most urgent first.
		consultations []Consultation
		// relay is the clock that leaders hand on, silences are the workers whose silence is
		// stored, by ID; silenceRecords are part of the next batch.
		relay          *clock.Relay
		silences       map[string]*silence
		silenceRecords []Record
		// silencesDistrusted is whether loaded silences do not limit leases.
		silencesDistrusted bool
		// inherited bounds the leases that former leaders may have granted to any worker.
		inherited inheritedLease
		// witnesses are the clock readings that the former leader has left, nil if there are
		// none; unseen is how much time passed before this host saw the former leader's claim,
		// as far as they show it.
		witnesses *witnesses
		unseen    clock.Millis
		// wallAhead is how far this host's time of day is ahead of that of the former leader, 0 once that is
		// logged; newestLoaded is the reading at the acceptance of the newest loaded job.
		wallAhead, newestLoaded clock.Millis
		// delayedAt is when the daemon was last delayed, 0 if it was not.
		delayedAt clock.Millis
		// crashes are the recent crashes of workers.
		crashes []crash
		// ended are the last processes of workers that are known to have ended, by ID.
		ended map[string]endedProcess
		// upkeepLength is how long a machine is down for its upkeep.
		upkeepLength clock.Millis
		waves        map[string]*wave
		upkeepOrders []UpkeepOrder
		waits        waitChecks
		finiteWaits  finiteWaitChecks
		rescues      rescues
		// tenants are those with caps by name, sharer has what each tenant holds.
		tenants  map[string]*tenant
		sharer   *sharer.Sharer
		capRound capRound
		// waitingTenants are those that waited in the last round of placing.
		waitingTenants map[string]bool
		packing        packing
		runTimes       runTimes
	}

	// reply is a pending call of notify: with nil once the job's change is stored, or
	// with the reason why it never will be.
	reply struct {
		job    *job
		notify func(error)
	}

	// Option sets up a Scheduler.
	Option func(*Scheduler)
)

var (
	// ErrUnknown is returned for a job that does not exist.
	ErrUnknown = errors.New("no such job")
	// ErrInvalid is returned for a job with invalid fields.
	ErrInvalid = errors.New("the job is not valid")
	// ErrConflict is returned for an ID that belongs to a job of another queue or tenant.
	ErrConflict = errors.New("the id belongs to a job of another queue or tenant")
)

// Defaults of the options. A deployment sets all of them from its settings.
const (
	defaultLease          = 6 * clock.Second
	defaultRetention      = 120 * clock.Second
	defaultViolationLimit = 4 * clock.Second
	defaultRemoteFactor   = 2.0
	defaultUpkeepLength   = 2 * clock.Second
)

// WithClocks sets the monotonic clock and the clock for Unix time. Both are clock.System
// by default.
func WithClocks(now, wall func() clock.Millis) Option {
	return func(s *Scheduler) { s.now, s.wall = now, wall }
}

// WithLease sets how long a worker keeps its runs without hearing from the leader.
func WithLease(d clock.Millis) Option { return func(s *Scheduler) { s.leaseLength = d } }

// WithRetention sets how long the state of an ended job is kept.
func WithRetention(d clock.Millis) Option { return func(s *Scheduler) { s.retention = d } }

// WithViolationLimit sets how long fillers may make a serving task violate its objective.
func WithViolationLimit(d clock.Millis) Option { return func(s *Scheduler) { s.violationLimit = d } }

// WithRemoteFactor sets the factor by which a task runs longer outside the rack of its
// data.
func WithRemoteFactor(x float64) Option { return func(s *Scheduler) { s.remoteFactor = x } }

// WithEvents sets the function that logs decisions.
func WithEvents(emit func(logger.Event, ...logger.Field)) Option {
	return func(s *Scheduler) { s.emit = emit }
}

// WithOnFirstStart sets a function that is called when the first run of a job has started, with
// the time since the job was accepted.
func WithOnFirstStart(f func(clock.Millis)) Option { return func(s *Scheduler) { s.onFirstStart = f } }

// New returns a scheduler without jobs and workers.
func New(opts ...Option) *Scheduler {
	system := clock.System
	s := &Scheduler{
		now: system, wall: system, emit: func(logger.Event, ...logger.Field) {}, onFirstStart: func(clock.Millis) {}, onCrash: func(int) {}, onGivenUp: func() {},
		leaseLength: defaultLease, retention: defaultRetention, violationLimit: defaultViolationLimit, remoteFactor: defaultRemoteFactor,
		jobs: map[string]*job{}, active: map[*job]struct{}{}, workers: map[string]*worker{},
		evacuatedDataCentres: map[string]bool{}, sensitivities: map[string]*sensitivity{}, periodSelector: newPeriodSelector(), meanWorkByQueue: map[string]float64{},
		dirty: map[*job]struct{}{}, acks: map[string]Ack{}, upkeepLength: defaultUpkeepLength, waves: map[string]*wave{}, round: 1,
		silences: map[string]*silence{}, ended: map[string]endedProcess{}, sharer: newSharer(), runTimes: newRunTimes(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetEvacuated replaces the set of data centres where nothing may start.
func (s *Scheduler) SetEvacuated(dataCentres []string) {
	e := make(map[string]bool, len(dataCentres))
	for _, d := range dataCentres {
		e[d] = true
	}
	if !maps.Equal(e, s.evacuatedDataCentres) {
		s.emit(logger.Evacuated, logger.Text("data-centres", dataCentres))
	}
	s.evacuatedDataCentres = e
}

// TakeBatch removes and returns the changes since the last call as a batch to store, or nil if
// there are none.
func (s *Scheduler) TakeBatch() *Batch {
	if len(s.dirty) == 0 && len(s.deletedKeys) == 0 && len(s.silenceRecords) == 0 && len(s.orders) == 0 && len(s.replies) == 0 && len(s.acks) == 0 {
		return nil
	}
	b := &Batch{Orders: s.orders, Acks: s.acks, replies: s.replies, phases: make(map[*job]Phase, len(s.dirty)), Heard: s.deletedSilences()}
	for _, j := range slices.SortedFunc(maps.Keys(s.dirty), func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) }) {
		b.Records = s.appendRecords(b.Records, j)
		b.phases[j] = j.phase
		j.sent = true
	}
	b.Records = append(b.Records, s.silenceRecords...)
	for _, k := range s.deletedKeys {
		b.Records = append(b.Records, Record{Key: k})
	}
	if len(b.Records) > 0 && len(s.sensitivities) > 0 && s.now()-s.modelsBatchedAt >= modelStoreInterval {
		s.modelsBatchedAt = s.now()
		if m, err := s.encodeModels(); err != nil {
			s.emit(logger.RecordInvalid, logger.String("key", modelKey), logger.Err(err))
		} else {
			b.Records = append(b.Records, Record{Key: modelKey, Value: m})
		}
	}
	clear(s.dirty)
	s.deletedKeys, s.silenceRecords, s.orders, s.replies, s.acks = nil, nil, nil, nil, map[string]Ack{}
	return b
}

// TakeImmediateOrders removes and returns the orders since the last call that may be sent without
// waiting for a batch to be stored.
func (s *Scheduler) TakeImmediateOrders() []Order {
	o := s.immediate
	s.immediate = nil
	return o
}

// Stored must be called when a batch has been stored. It makes the phases in the batch
// visible to callers, allows its ended runs to be acknowledged, and notifies the callers
// that wait for it. It removes from b.Orders those of runs that were released or stopped
// while the batch was being stored.
func (s *Scheduler) Stored(b *Batch) {
	for j, p := range b.phases {
		if j.storedPhase == "" && !j.unsubmitted {
			s.emit(logger.JobAccepted, logger.String("id", j.spec.ID), logger.String("queue", j.spec.Queue.Name),
				logger.Int("steps", int64(len(j.spec.Steps))), logger.Text("deposited", j.deposited), logger.Int("stored-after-ms", int64(s.ageOf(j))))
		}
		j.storedPhase = p
	}
	for _, id := range b.Heard {
		delete(s.silences, id)
	}
	b.Orders = slices.DeleteFunc(b.Orders, func(o Order) bool { return !s.markRecorded(o) })
	for _, r := range b.replies {
		r.notify(nil)
	}
	for id, a := range b.Acks {
		// A worker that has restarted meanwhile numbers its ended runs from 1 again.
		if w := s.workers[id]; w != nil && w.info.Born == a.Born {
			w.storedEnd = max(w.storedEnd, a.Number)
		}
	}
}

// markRecorded marks the run of an order to start as recorded. It reports whether the order
// must still be sent; if not, the order no longer counts as in flight.
func (s *Scheduler) markRecorded(o Order) bool {
	t := s.findTask(o.Task.String())
	if t == nil || t.attempt != o.Attempt {
		return false
	}
	if t.state == placed {
		t.recorded, t.placedAt = true, s.now()
		if !t.stopping && t.worker.info.ID == o.Worker && t.worker.info.Born == o.Born {
			return true
		}
	}
	t.ordersInFlight = max(t.ordersInFlight-1, 0)
	return false
}

// markDirty adds the record of a job to the next batch.
func (s *Scheduler) markDirty(j *job) { s.dirty[j] = struct{}{} }

// finishJob sets the final phase of a job and stops its runs.
func (s *Scheduler) finishJob(j *job, p Phase) {
	j.phase = p
	j.endedAt, j.endedReading = s.wall(), s.reading()
	s.markDirty(j)
	j.eachTask(func(t *task) {
		if t.hasRun() {
			s.stop(t)
		}
	})
	delete(s.active, j)
	s.emit(logger.JobEnded, logger.String("id", j.spec.ID), logger.String("phase", string(p)),
		logger.Int("since-accepted-ms", int64(s.ageOf(j))))
}

// stop orders the newest run of a task to stop. The run keeps its resources until the
// worker reports its end.
func (s *Scheduler) stop(t *task) {
	if t.worker == nil {
		return
	}
	t.stopping, t.stopUnconfirmed = true, false
	s.immediate = append(s.immediate, s.newOrder(Stop, t))
}

func (s *Scheduler) newOrder(k OrderKind, t *task) Order {
	w := t.worker
	t.ordersInFlight++
	return Order{
		Kind: k, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: t.name(), Attempt: t.attempt,
		Text: t.job().spec.Text, Checkpoint: t.checkpoint, Ticket: t.ticketFor(w), Percent: t.pace,
	}
}

// openDueOccurrences creates the tasks of each occurrence of a job that is due and not
// done, of as many as may be open at once.
func (s *Scheduler) openDueOccurrences(j *job) {
	tasks := 0
	for i := range j.spec.Steps {
		tasks += j.spec.Steps[i].Count
	}
	wall := s.wall()
	for k := range j.occurrenceCount() {
		if j.untilDue(k, wall) > 0 || len(j.occurrences) > 0 && (len(j.occurrences)+1)*tasks > maxOpenTasks {
			return
		}
		if j.occurrences[k] == nil && !j.isDone(k) {
			j.openOccurrence(k)
		}
	}
}

// NoteDelay must be called when the daemon was delayed. Workers that are silent then have to miss
// another call before their runs are given up.
func (s *Scheduler) NoteDelay() { s.delayedAt = s.now() }

// MayStart reports whether a run may still be started on the worker of an order: the worker is
// known not to leave, its data centre is not evacuated, and its capacity has not shrunk below what is
// assigned to it, and the tenant of the task holds at most its cap.
func (s *Scheduler) MayStart(o Order) bool {
	w := s.workers[o.Worker]
	if w == nil || w.info.Born != o.Born || !s.acceptsStarts(w) {
		return false
	}
	t := s.findTask(o.Task.String())
	return t == nil || !w.isOverCapacity(t.spec()) && !s.isOverCap(t)
}

// acceptsStarts reports whether runs that were assigned to a worker may still start there.
func (s *Scheduler) acceptsStarts(w *worker) bool {
	return !w.info.Draining && !s.evacuatedDataCentres[w.info.DataCentre]
}

// Sweep does the periodic work: it creates due occurrences, drops ended jobs after their
// retention, stops stalled runs and runs on draining workers so that they start
// elsewhere, abandons the runs of workers whose lease has expired, adjusts the paces of
// fillers, and logs which long-running tasks wait for a run. Call it several times a second.
func (s *Scheduler) Sweep() {
	for j := range s.active {
		if j.spec.Repeat > 0 {
			s.openDueOccurrences(j)
		}
	}
	s.logClockDifference()
	s.dropEndedJobs()
	s.dropOrphanedChunks()
	s.moveStalledRuns()
	s.moveOffDraining()
	s.expireLeases()
	s.recordSilences()
	s.paceAllFillers()
	s.checkWaits()
	s.measureRoom()
}
