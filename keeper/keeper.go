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
	// Keeper has the tasks of one shard. It is not safe for concurrent use.
	Keeper struct {
		shard      string
		dataCentre string
		daemon     string
		place      func(clock.Millis, []placer.Task, []placer.Worker) []placer.Decision
		closed     func(now clock.Millis, worker string) bool
		register   *Register
		config     *declarer.State
		specs      map[declarer.Key]*spec
		tasks      map[string]*task
		results    map[string]result
		recent     map[string]recentTask
		waiting    map[string]*task
		touched    map[string]*task
		unclear    map[string]*task
		exclusive  map[string]*task
		released   map[string]departure
		// strays are tasks whose unit has moved on without them.
		strays map[string]*task
		// queue has events whose writer was further in "intents".
		queue []*schema.Record
		// verdicts wait for events of the data centre's stream.
		verdicts []Verdict
		// intentsNext is what was applied of "intents", intentsRead what was
		// read.
		intentsNext provider.Offset
		intentsRead provider.Offset
		hosts       map[string]*host
		ordered     []*host
		taskLife    *life
		leaseLife   *life

		now       clock.Millis
		authority Authority
		epoch     int64
		tookAt    clock.Millis
		records   int64
		fences    int64
		placeAt   clock.Millis
		purgeAt   clock.Millis
		proposeAt clock.Millis
		drained   bool
		ramp      ramp
		drainedAt clock.Millis
		drainAt   clock.Millis
		out       Actions
	}

	// Option sets up a Keeper.
	Option func(*Keeper)

	// departure is a unit that leaves the shard.
	departure struct {
		to      string
		hop     int64
		pending string
	}

	// recentTask is a task that has ended, whose usage is still to come.
	recentTask struct {
		task placer.Task
		at   clock.Millis
	}

	// result is what is kept of work that has ended.
	result struct {
		code   coder.Code
		ran    bool
		at     clock.Millis
		answer []byte
	}
)

const (
	// ShortLease is the lease of exclusive and batch work.
	ShortLease = 10 * clock.Second
	// LongLease is the lease of service replicas.
	LongLease = clock.Day

	heartbeatInterval = 3 * clock.Second
	inventoryInterval = 5 * clock.Minute
	// checkpointInterval is how often a worker is looked over for runs whose
	// state is to be saved.
	checkpointInterval = clock.Second
	usageInterval      = 15 * clock.Second
	orderTimeout       = 5 * clock.Second
	// startWithin is how late an order to start may still be heeded.
	startWithin     = 2 * clock.Second
	firstRetry      = 500 * clock.Millis(1)
	lastRetry       = 5 * clock.Second
	suspectAfter    = 10 * clock.Second
	giveUpAfter     = 10 * clock.Minute
	placeInterval   = 50 * clock.Millis(1)
	proposeInterval = 10 * clock.Second
	purgeInterval   = clock.Minute
	recentRetention = 2 * clock.Minute
	answerRetention = 2 * clock.Day
	neverFitsAfter  = 30 * clock.Second
	firstBackoff    = 2 * clock.Second
	lastBackoff     = 5 * clock.Minute
	maxFailures     = 4
)

// New gives the keeper of a shard of a data centre. The register is shared by
// the keepers of a daemon, who is named for the log.
func New(shard, dataCentre, daemon string, r *Register, opts ...Option) *Keeper {
	k := &Keeper{
		shard:      shard,
		dataCentre: dataCentre,
		daemon:     daemon,
		place:      placer.FirstFit,
		closed:     func(clock.Millis, string) bool { return false },
		register:   r,
		config:     declarer.NewState(),
		authority:  NoAuthority(),
		epoch:      -1,
		hosts:      map[string]*host{},
		taskLife:   newLife(stateWaiting, taskTable),
		leaseLife:  newLife(phasePlanned, leaseTable),
	}
	k.clear()
	for _, o := range opts {
		o(k)
	}
	return k
}

// WithPlacer sets what decides where work runs.
func WithPlacer(place func(clock.Millis, []placer.Task, []placer.Worker) []placer.Decision) Option {
	return func(k *Keeper) { k.place = place }
}

// WithClosed sets what tells that a worker is to get nothing, such as one that
// fails all that it starts.
func WithClosed(closed func(now clock.Millis, worker string) bool) Option {
	return func(k *Keeper) { k.closed = closed }
}

func (k *Keeper) clear() {
	k.specs = map[declarer.Key]*spec{}
	k.tasks = map[string]*task{}
	k.results = map[string]result{}
	k.recent = map[string]recentTask{}
	k.waiting = map[string]*task{}
	k.touched = map[string]*task{}
	k.unclear = map[string]*task{}
	k.exclusive = map[string]*task{}
	k.released = map[string]departure{}
	k.strays = map[string]*task{}
	k.queue = nil
	k.verdicts = nil
}

// Shard gives the name of the shard.
func (k *Keeper) Shard() string { return k.shard }

// SetHosts sets the shard's workers as they are known now. One that is not
// named any more gets nothing new, but what it holds is still looked after.
func (k *Keeper) SetHosts(workers []provider.Host) {
	for _, h := range k.ordered {
		h.listed = false
	}
	for _, w := range workers {
		k.host(w.Name).set(w)
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
	k.ordered = k.ordered[:0]
	for _, h := range k.hosts {
		k.ordered = append(k.ordered, h)
	}
	slices.SortFunc(k.ordered, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
}

// touch has the next step look at a task.
func (k *Keeper) touch(t *task) { k.touched[t.id] = t }

// take gives the touched tasks by name and forgets them.
func (k *Keeper) takeTouched() []*task {
	all := sortedTasks(k.touched)
	clear(k.touched)
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

// record asks for a task event; the decision stands when it is read back.
func (k *Keeper) record(t *task, e *schema.TaskEvent) {
	e.Shard = k.shard
	e.Epoch = k.epoch
	e.IntentsNext = int64(k.intentsNext)
	t.pending = k.append(provider.StreamOf(k.dataCentre), &schema.Record{Body: &schema.Record_Task{Task: e}})
}

func (k *Keeper) append(stream string, r *schema.Record) string {
	k.records++
	r.Id = k.shard + "@" + strconv.FormatInt(k.epoch, 10) + "." + strconv.FormatInt(k.records, 10)
	r.AtMillis = int64(k.now)
	r.Daemon = k.daemon
	k.out.appends = append(k.out.appends, Append{stream: stream, record: r})
	return r.Id
}

func (k *Keeper) tell(e Event) {
	e.at = k.now
	k.out.events = append(k.out.events, e)
}

// move takes a lease through its table; an event that may not come there
// leaves it as it is.
func (k *Keeper) move(l *lease, event string) bool {
	next, ok := k.leaseLife.next(l.phase, event)
	l.phase = next
	l.host.stale = true
	return ok
}
