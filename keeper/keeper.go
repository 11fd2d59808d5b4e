package keeper

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Keeper manages the tasks of one shard. It is not safe for concurrent use.
	Keeper struct {
		shard      string
		dataCentre string
		daemon     string
		place      func(clock.Millis, []placer.Task, []placer.Worker) []placer.Decision
		// cordoned reports whether a worker must get no new tasks.
		cordoned func(now clock.Millis, worker string) bool
		register *Register
		config   *declarer.State
		specs    map[declarer.Key]*spec
		tasks    map[string]*task
		// results holds the results of ended tasks, by key.
		results map[string]result
		// recentlyEnded holds ended tasks, for usage samples that arrive late.
		recentlyEnded map[string]endedTask
		waiting       map[string]*task
		// toReconcile holds the tasks that the next step reconciles.
		toReconcile map[string]*task
		// unresolved holds tasks that must not run twice and whose lease expired without
		// a report from the worker. They wait unresolvedTimeout for one.
		unresolved map[string]*task
		// exclusiveHolders maps an exclusive key to the one task that holds a lease under
		// it.
		exclusiveHolders map[string]*task
		// released holds units that this shard has released, by unit, until their move to
		// another shard is read back from "intents".
		released map[string]unitRelease
		// orphans holds waiting tasks of this shard whose unit was moved to another shard
		// by a record that didn't name them.
		orphans map[string]*task
		// pendingEvents holds events whose writer had read further in "intents" than this
		// keeper, and the events after them.
		pendingEvents []*schema.Record
		// pendingVerdicts holds a move of a unit from this shard, if the event that
		// released the unit was not read from the data centre's stream yet, and the
		// verdicts after it.
		pendingVerdicts []Verdict
		// intentsNext is the next offset of "intents" to apply, intentsRead the offset
		// after the last verdict that was received.
		intentsNext  provider.Offset
		intentsRead  provider.Offset
		hosts        map[string]*host
		sortedHosts  []*host
		taskMachine  *stateMachine
		leaseMachine *stateMachine

		now       clock.Millis
		authority Authority
		epoch     int64
		// epochStart is when the current epoch began.
		epochStart clock.Millis
		// recordCount and orderCount number the records and orders, as part of record IDs
		// and fences.
		recordCount  int64
		orderCount   int64
		nextPlaceAt  clock.Millis
		nextPurgeAt  clock.Millis
		nextSubmitAt clock.Millis
		// drained is set while the data centre is drained, since drainedAt.
		drained     bool
		ramp        ramp
		drainedAt   clock.Millis
		nextDrainAt clock.Millis
		out         Actions
	}

	// Option configures a Keeper.
	Option func(*Keeper)

	// unitRelease is the pending move of a unit to another shard.
	unitRelease struct {
		// to is the other shard.
		to string
		// hop is the number of moves of the unit, this one included.
		hop int64
		// pending is the ID of the rehome record that was not read back yet, "" if none
		// was written in this epoch.
		pending string
	}

	// endedTask is a task that has ended, kept for endedTaskRetention because usage samples
	// of its last run may still arrive.
	endedTask struct {
		task placer.Task
		at   clock.Millis
	}

	// result is the result of an ended task. It is kept for KeyRetention, its answer only
	// for answerRetention.
	result struct {
		code coder.Code
		// ran is set if the task may have run.
		ran    bool
		at     clock.Millis
		answer []byte
	}
)

const (
	// ShortLease is the length of the leases of exclusive, batch and watch work.
	ShortLease = 10 * clock.Second
	// LongLease is the length of the leases of service replicas. It keeps replicas
	// running while their data centre is cut off.
	LongLease = clock.Day

	heartbeatInterval = 3 * clock.Second
	inventoryInterval = 5 * clock.Minute
	// checkpointSearchInterval is how often a worker's runs are searched for one whose
	// checkpoint is due.
	checkpointSearchInterval = clock.Second
	usageInterval            = 15 * clock.Second
	orderTimeout             = 5 * clock.Second
	// maxStartDelay is how long after it was sent a start order may still be carried out.
	maxStartDelay = 2 * clock.Second
	minOrderRetry = 500 * clock.Millis(1)
	maxOrderRetry = 5 * clock.Second
	// suspectAfter is how long a worker may be silent before it gets no new tasks and its
	// replicas are replaced.
	suspectAfter = 10 * clock.Second
	// unresolvedTimeout is how long the keeper waits for the worker's report on a task that
	// must not run twice, after its lease has expired. Then the result is unknown.
	unresolvedTimeout   = 10 * clock.Minute
	placeInterval       = 50 * clock.Millis(1)
	watchSubmitInterval = 10 * clock.Second
	purgeInterval       = clock.Minute
	endedTaskRetention  = 2 * clock.Minute
	answerRetention     = 2 * clock.Day
	// neverFitsDelay is how long after the beginning of an epoch tasks that are larger than
	// every worker are parked.
	neverFitsDelay = 30 * clock.Second
	minBackoff     = 2 * clock.Second
	maxBackoff     = 5 * clock.Minute
	// maxFailures is how many runs of a task may fail before it is parked.
	maxFailures = 4
)

// New returns the keeper of a shard in a data centre. All keepers of a daemon share the
// register. The daemon's name is written into each log record.
func New(shard, dataCentre, daemon string, r *Register, opts ...Option) *Keeper {
	k := &Keeper{
		shard:        shard,
		dataCentre:   dataCentre,
		daemon:       daemon,
		place:        placer.FirstFit,
		cordoned:     func(clock.Millis, string) bool { return false },
		register:     r,
		config:       declarer.NewState(),
		authority:    NoAuthority(),
		epoch:        -1,
		hosts:        map[string]*host{},
		taskMachine:  newStateMachine(stateWaiting, taskTransitions),
		leaseMachine: newStateMachine(phasePlanned, leaseTransitions),
	}
	k.clear()
	for _, o := range opts {
		o(k)
	}
	return k
}

// WithPlacer sets the function that assigns waiting tasks to workers; the default is
// placer.FirstFit.
func WithPlacer(place func(clock.Millis, []placer.Task, []placer.Worker) []placer.Decision) Option {
	return func(k *Keeper) { k.place = place }
}

// WithCordoned sets the function that reports whether a worker must get no new tasks, for
// example because every task on it fails.
func WithCordoned(cordoned func(now clock.Millis, worker string) bool) Option {
	return func(k *Keeper) { k.cordoned = cordoned }
}

func (k *Keeper) clear() {
	k.specs = map[declarer.Key]*spec{}
	k.tasks = map[string]*task{}
	k.results = map[string]result{}
	k.recentlyEnded = map[string]endedTask{}
	k.waiting = map[string]*task{}
	k.toReconcile = map[string]*task{}
	k.unresolved = map[string]*task{}
	k.exclusiveHolders = map[string]*task{}
	k.released = map[string]unitRelease{}
	k.orphans = map[string]*task{}
	k.pendingEvents = nil
	k.pendingVerdicts = nil
}

// Shard returns the name of the shard.
func (k *Keeper) Shard() string { return k.shard }

// SetHosts replaces the list of the shard's workers. A worker that is missing from it
// gets no new tasks, but its leases are still followed until they end.
func (k *Keeper) SetHosts(workers []provider.Host) {
	for _, h := range k.sortedHosts {
		h.listed = false
	}
	for _, w := range workers {
		k.host(w.Name).update(w)
	}
	for name, h := range k.hosts {
		if !h.listed && len(h.leases) == 0 {
			delete(k.hosts, name)
		}
	}
	k.sortHosts()
}

func (k *Keeper) host(name string) *host {
	h, known := k.hosts[name]
	if !known {
		h = newHost(name)
		k.hosts[name] = h
		k.sortHosts()
	}
	return h
}

func (k *Keeper) sortHosts() {
	k.sortedHosts = k.sortedHosts[:0]
	for _, h := range k.hosts {
		k.sortedHosts = append(k.sortedHosts, h)
	}
	slices.SortFunc(k.sortedHosts, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
}

// enqueue schedules a task for reconciliation in the next step.
func (k *Keeper) enqueue(t *task) { k.toReconcile[t.id] = t }

// takeToReconcile returns the tasks to reconcile, sorted by ID, and clears the set.
func (k *Keeper) takeToReconcile() []*task {
	all := sortedTasks(k.toReconcile)
	clear(k.toReconcile)
	return all
}

func sortedTasks(m map[string]*task) []*task {
	all := make([]*task, 0, len(m))
	for _, t := range m {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return strings.Compare(a.id, b.id) })
	return all
}

// record appends a task event to the data centre's stream. The decision takes effect when
// the record is read back.
func (k *Keeper) record(t *task, e *schema.TaskEvent) {
	e.Shard = k.shard
	e.Epoch = k.epoch
	e.IntentsNext = int64(k.intentsNext)
	t.pending = k.appendRecord(provider.StreamOf(k.dataCentre), &schema.Record{Body: &schema.Record_Task{Task: e}})
}

// appendRecord adds a record to the actions of this step and returns the record's ID.
func (k *Keeper) appendRecord(stream string, r *schema.Record) string {
	k.recordCount++
	r.Id = k.shard + "@" + strconv.FormatInt(k.epoch, 10) + "." + strconv.FormatInt(k.recordCount, 10)
	r.AtMillis = int64(k.now)
	r.Daemon = k.daemon
	k.out.appends = append(k.out.appends, Append{stream: stream, record: r})
	return r.Id
}

func (k *Keeper) emit(e Event) {
	e.at = k.now
	k.out.events = append(k.out.events, e)
}

// transition applies an event to the phase of a lease and reports whether the phase allows
// the event. If it doesn't, the phase stays unchanged.
func (k *Keeper) transition(l *lease, event string) bool {
	next, ok := k.leaseMachine.next(l.phase, event)
	l.phase = next
	l.host.stale = true
	return ok
}
