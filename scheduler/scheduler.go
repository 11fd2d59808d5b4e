package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Scheduler holds all jobs and workers of a deployment. It is not safe for
	// concurrent use.
	Scheduler struct {
		// now is the steady clock of the host; wall is the time of day.
		now  func() clock.Millis
		wall func() clock.Millis
		emit func(logger.Event, ...logger.Field)
		// begun is called with the time from the acceptance of a job to its first start.
		begun func(clock.Millis)

		// leaseLength is how long a worker works on without hearing.
		leaseLength clock.Millis
		// retention is how long the state of an ended job is kept.
		retention clock.Millis
		// harmLimit is how long a serving task may be over its objective.
		harmLimit clock.Millis
		// remoteFactor is how much longer a task takes away from its data.
		remoteFactor float64

		jobs      map[string]*job
		active    map[*job]struct{}
		workers   map[string]*worker
		evacuated map[string]bool
		images    map[string]*sensitivity
		calendar  *calendar
		// racks has those with a worker that may get a new run.
		racks map[string]bool
		// means has the mean work of the jobs of each queue, in core-seconds.
		means map[string]float64
		// crowded is whether fillers found no room in the last round of placing.
		crowded bool
		// rotation is where the search for a worker begins, so that all get their share.
		rotation int
		// modelled is when the models were last stored.
		modelled clock.Millis

		dirty   map[*job]struct{}
		removed []string
		orders  []Order
		// immediate orders need nothing stored before them.
		immediate []Order
		replies   []reply
		acks      map[string]Ack
		// consultations are those that the last round of placing found wanting, the
		// most urgent first.
		consultations []Consultation
		// upkeepLength is how long a machine is down for its upkeep.
		upkeepLength clock.Millis
		waves        map[string]*wave
		upkeeps      []Upkeep
	}

	// reply tells a caller when its change is stored, or why it never will be.
	reply struct {
		job  *job
		tell func(error)
	}

	// Option sets up a Scheduler.
	Option func(*Scheduler)
)

var (
	// ErrUnknown is the error for a job that does not exist.
	ErrUnknown = errors.New("no such job")
	// ErrInvalid is the error for a job that nobody can run.
	ErrInvalid = errors.New("the job is not valid")
	// ErrConflict is the error for an id that belongs to a job of another queue.
	ErrConflict = errors.New("the id belongs to a job of another queue")
)

// Defaults, all of which a deployment's settings replace.
const (
	defaultLease     = 6 * clock.Second
	defaultRetention = 120 * clock.Second
	defaultHarm      = 4 * clock.Second
	defaultRemote    = 2.0
	defaultUpkeep    = 2 * clock.Second
)

// WithClocks sets the steady clock and the time of day.
func WithClocks(now, wall func() clock.Millis) Option {
	return func(s *Scheduler) { s.now, s.wall = now, wall }
}

// WithLease sets how long a worker works on without hearing from the leader.
func WithLease(d clock.Millis) Option { return func(s *Scheduler) { s.leaseLength = d } }

// WithRetention sets how long the state of an ended job is kept.
func WithRetention(d clock.Millis) Option { return func(s *Scheduler) { s.retention = d } }

// WithHarmLimit sets how long fillers may hold a serving task over its objective.
func WithHarmLimit(d clock.Millis) Option { return func(s *Scheduler) { s.harmLimit = d } }

// WithRemoteFactor sets how much longer a task takes away from its data.
func WithRemoteFactor(x float64) Option { return func(s *Scheduler) { s.remoteFactor = x } }

// WithEvents sets where decisions are logged.
func WithEvents(emit func(logger.Event, ...logger.Field)) Option {
	return func(s *Scheduler) { s.emit = emit }
}

// WithBegun sets what is called with the time from a job's acceptance to its first
// start.
func WithBegun(f func(clock.Millis)) Option { return func(s *Scheduler) { s.begun = f } }

// New returns a scheduler without jobs and workers.
func New(opts ...Option) *Scheduler {
	system := clock.System
	s := &Scheduler{
		now: system, wall: system, emit: func(logger.Event, ...logger.Field) {}, begun: func(clock.Millis) {},
		leaseLength: defaultLease, retention: defaultRetention, harmLimit: defaultHarm, remoteFactor: defaultRemote,
		jobs: map[string]*job{}, active: map[*job]struct{}{}, workers: map[string]*worker{},
		evacuated: map[string]bool{}, images: map[string]*sensitivity{}, calendar: newCalendar(), means: map[string]float64{},
		dirty: map[*job]struct{}{}, acks: map[string]Ack{}, upkeepLength: defaultUpkeep, waves: map[string]*wave{},
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
	if !maps.Equal(e, s.evacuated) {
		s.emit(logger.Evacuated, logger.Text("data-centres", dataCentres))
	}
	s.evacuated = e
}

// Take returns the changes since the last call, or nil if there are none.
func (s *Scheduler) Take() *Batch {
	if len(s.dirty) == 0 && len(s.removed) == 0 && len(s.orders) == 0 && len(s.replies) == 0 && len(s.acks) == 0 {
		return nil
	}
	b := &Batch{Orders: s.orders, Acks: s.acks, replies: s.replies, phases: make(map[*job]Phase, len(s.dirty))}
	for _, j := range slices.SortedFunc(maps.Keys(s.dirty), func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) }) {
		b.Records = append(b.Records, Record{Key: jobKey(j.spec.ID), Value: encode(j)})
		b.phases[j] = j.phase
		j.sent = true
	}
	for _, id := range s.removed {
		b.Records = append(b.Records, Record{Key: jobKey(id)})
	}
	if len(b.Records) > 0 && len(s.images) > 0 && s.now()-s.modelled >= modelEvery {
		s.modelled = s.now()
		if m, err := s.encodeModels(); err != nil {
			s.emit(logger.RecordInvalid, logger.String("key", modelKey), logger.Err(err))
		} else {
			b.Records = append(b.Records, Record{Key: modelKey, Value: m})
		}
	}
	clear(s.dirty)
	s.removed, s.orders, s.replies, s.acks = nil, nil, nil, map[string]Ack{}
	return b
}

// Immediate returns the orders since the last call that need nothing stored first.
func (s *Scheduler) Immediate() []Order {
	o := s.immediate
	s.immediate = nil
	return o
}

// Stored takes note that a batch is stored: its phases may be shown and its ends
// acknowledged. It tells the callers that wait for it.
func (s *Scheduler) Stored(b *Batch) {
	for j, p := range b.phases {
		if j.stored == "" {
			s.emit(logger.JobAccepted, logger.String("id", j.spec.ID), logger.String("queue", j.spec.Queue.Name),
				logger.Int("steps", int64(len(j.spec.Steps))), logger.Int("stored-after-ms", int64(s.wall()-j.accepted)))
		}
		j.stored = p
	}
	for _, o := range b.Orders {
		if t := s.find(o.Task.String()); t != nil && t.attempt == o.Attempt && t.state == placed {
			t.recorded, t.placed = true, s.now()
		}
	}
	for _, r := range b.replies {
		r.tell(nil)
	}
	for id, a := range b.Acks {
		// A worker that was restarted meanwhile numbers its ends anew.
		if w := s.workers[id]; w != nil && w.info.Born == a.Born {
			w.acked = max(w.acked, a.Number)
		}
	}
}

// touch marks a job for the next batch.
func (s *Scheduler) touch(j *job) { s.dirty[j] = struct{}{} }

// finish gives a job its final phase and stops what runs.
func (s *Scheduler) finish(j *job, p Phase) {
	j.phase = p
	j.ended = s.wall()
	s.touch(j)
	j.eachTask(func(t *task) {
		if t.held() {
			s.stop(t)
		}
	})
	delete(s.active, j)
	s.emit(logger.JobEnded, logger.String("id", j.spec.ID), logger.String("phase", string(p)),
		logger.Int("since-accepted-ms", int64(j.ended-j.accepted)))
}

// stop orders the end of the newest run of a task. The run keeps its room until the
// worker lists its end.
func (s *Scheduler) stop(t *task) {
	if t.worker == nil {
		return
	}
	t.stopping = true
	s.immediate = append(s.immediate, s.order(Stop, t))
}

func (s *Scheduler) order(k OrderKind, t *task) Order {
	w := t.worker
	t.sending++
	return Order{
		Kind: k, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born, Task: t.name(), Attempt: t.attempt,
		Text: t.job().spec.Text, Checkpoint: t.checkpoint, Ticket: t.ticketFor(w), Percent: t.pace,
	}
}

// openDue creates the occurrences of a job whose time has come.
func (s *Scheduler) openDue(j *job) {
	for k := range j.occurrenceCount() {
		if j.occurrences[k] == nil && j.due(k) <= s.wall() && !j.isDone(k) {
			j.open(k)
		}
	}
}

// Sweep opens due occurrences and drops ended jobs after their retention. Call it
// several times a second.
func (s *Scheduler) Sweep() {
	for j := range s.active {
		if j.spec.Repeat > 0 {
			s.openDue(j)
		}
	}
	wall := s.wall()
	for id, j := range s.jobs {
		if j.phase.final() && j.stored.final() && wall-j.ended > s.retention && !j.holdsRuns() {
			delete(s.jobs, id)
			s.removed = append(s.removed, id)
		}
	}
	s.checkProgress()
	s.leave()
	s.expire()
	s.protect()
}

func (j *job) holdsRuns() bool {
	held := false
	j.eachTask(func(t *task) { held = held || t.held() })
	return held
}
