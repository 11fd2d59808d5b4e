// Package replicator keeps one daemon's copy of the configuration: by offset of
// the log, never back, passed on between daemons, and with a bound on how old
// it may be for work to start.
package replicator

import (
	"maps"
	"strconv"
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Replicator is one daemon's copy of the configuration. State,
	// StartAllowed, StartUntil and Ready are safe for concurrent use, all other
	// methods are for one goroutine.
	//
	// Its times must come from a clock that is never put back and that goes on
	// while the host is suspended.
	Replicator struct {
		process    string
		daemon     string
		dataCentre string
		freshFor   clock.Millis
		agreeLimit clock.Millis
		booted     clock.Millis

		replica *replica
		holes   *collector
		kept    suffix
		peers   map[string]Peer
		heard   map[string]heard
		// fresh is when nothing was in the log for certain that the replica
		// lacks; direct is the same by the log alone.
		fresh  clock.Millis
		direct clock.Millis
		// agreed is when no member had anything in the log that the replica lacks.
		agreed  clock.Millis
		settled bool
		// unsettled are when records were sent that were not read back.
		unsettled map[string]clock.Millis
		steppedAt clock.Millis
		// droppedAt are when the daemon last dropped a member, by daemon.
		droppedAt    map[string]clock.Millis
		joinedAt     clock.Millis
		snapshotAt   clock.Millis
		snapshotBase provider.Offset
		ids          int64
		published    atomic.Pointer[published]
	}

	// published is what other goroutines see. It never changes.
	published struct {
		state      *declarer.State
		startUntil clock.Millis
		ready      bool
	}

	// Option sets up a Replicator.
	Option func(*Replicator)
)

// Defaults of a Replicator.
const (
	// DefaultFreshFor is how old the view of the configuration may be for work
	// to start.
	DefaultFreshFor = 3 * clock.Second
	// DefaultAgreeLimit is how long starts go on by the word of all members
	// alone while the log is down. It must be the same in all daemons.
	DefaultAgreeLimit = 30 * clock.Minute
	// DropAfter is how long a member must have been dead to be dropped.
	DropAfter = 30 * clock.Second

	// giveUpAfter is how long after its sending a record that the log doesn't
	// show is taken for one that never reached it.
	giveUpAfter = clock.Minute
	// dropAgainAfter is how long a member that was dropped and added again
	// isn't dropped.
	dropAgainAfter  = 10 * clock.Minute
	snapshotEvery   = 6 * clock.Hour
	snapshotRecords = 500
	snapshotStagger = clock.Minute
	repeatAfter     = 2 * clock.Second
	chunkBytes      = 256 << 10
	maxChunks       = 256

	never clock.Millis = -1 << 60
)

// New gives the Replicator of a process that starts now and knows nothing. The
// process is the daemon and its incarnation, as claimer.Identity gives it.
func New(process, daemon, dataCentre string, now clock.Millis, opts ...Option) (*Replicator, error) {
	if process == "" || daemon == "" || dataCentre == "" {
		return nil, coder.New(coder.Missing, "replicator.New: the process, its daemon and its data centre must be given")
	}
	r := &Replicator{
		process:    process,
		daemon:     daemon,
		dataCentre: dataCentre,
		freshFor:   DefaultFreshFor,
		agreeLimit: DefaultAgreeLimit,
		booted:     now,
		replica:    newReplica(),
		peers:      map[string]Peer{},
		heard:      map[string]heard{},
		fresh:      never,
		direct:     never,
		agreed:     never,
		unsettled:  map[string]clock.Millis{},
		droppedAt:  map[string]clock.Millis{},
		joinedAt:   never,
		steppedAt:  never,
		snapshotAt: never,
	}
	for _, o := range opts {
		o(r)
	}
	r.publish()
	return r, nil
}

// WithFreshFor sets how old the view may be for work to start.
func WithFreshFor(m clock.Millis) Option { return func(r *Replicator) { r.freshFor = m } }

// WithAgreeLimit sets how long starts go on by the word of all members alone.
func WithAgreeLimit(m clock.Millis) Option { return func(r *Replicator) { r.agreeLimit = m } }

// State gives the configuration in force at the daemon.
func (r *Replicator) State() *declarer.State { return r.published.Load().state }

// Ready tells whether the daemon may serve: its configuration is at least as
// new as any that the log, or without it a peer, has shown.
func (r *Replicator) Ready() bool { return r.published.Load().ready }

// StartAllowed tells whether work may start at a time as far as the
// configuration goes: its view is confirmed to be at most FreshFor old, by the
// log, by a peer with such a view, or by all members. The data centre's drain is a matter of State.
func (r *Replicator) StartAllowed(now clock.Millis) bool { return now < r.StartUntil() }

// StartUntil gives the time up to which work may start by what is now known. An
// order to start must not take effect later.
func (r *Replicator) StartUntil() clock.Millis { return r.published.Load().startUntil }

// Next gives the offset from which the config stream is to be read.
func (r *Replicator) Next() provider.Offset {
	if r.holes != nil && len(r.holes.entries) > 0 {
		return r.holes.entries[len(r.holes.entries)-1].Offset + 1
	}
	return r.replica.next()
}

// Member tells whether the process may change the configuration as far as the
// log says.
func (r *Replicator) Member() bool {
	_, member := r.replica.members[r.process]
	return member
}

// SetPeers sets what is known of the other daemons' processes.
func (r *Replicator) SetPeers(peers []Peer) {
	clear(r.peers)
	for _, p := range peers {
		r.peers[p.Process] = p
	}
	maps.DeleteFunc(r.heard, func(p string, _ heard) bool {
		_, peer := r.peers[p]
		_, member := r.replica.members[p]
		return !peer && !member
	})
}

// Confirmations gives how far the configuration of each member is, as far as
// it was heard.
func (r *Replicator) Confirmations(now clock.Millis) []Confirmation {
	confirmations := make([]Confirmation, 0, len(r.replica.members))
	for _, p := range r.sortedMembers() {
		c := Confirmation{process: p, dataCentre: r.replica.members[p], heardAt: never}
		if h, known := r.heard[p]; known {
			c.next, c.heardAt = h.next, h.at
		}
		if p == r.process {
			c.next, c.heardAt = r.replica.next(), now
		}
		confirmations = append(confirmations, c)
	}
	return confirmations
}

func (r *Replicator) record(now clock.Millis) *schema.Record {
	r.ids++
	return &schema.Record{Id: r.process + "/config/" + strconv.FormatInt(r.ids, 10), AtMillis: int64(now), Daemon: r.daemon}
}

// advance replaces the replica by a newer one; it never goes back.
func (r *Replicator) advance(now clock.Millis, after *replica) {
	if after.next() <= r.replica.next() {
		return
	}
	_, was := r.replica.members[r.process]
	r.replica = after
	if _, is := after.members[r.process]; is && !was {
		r.joinedAt = now
	}
}

func (r *Replicator) publish() {
	agreed := min(r.agreed, add(r.direct, less(r.agreeLimit)))
	until := add(max(r.fresh, agreed), less(r.freshFor))
	r.published.Store(&published{state: r.replica.state, startUntil: until, ready: r.settled})
}

func add(m, d clock.Millis) clock.Millis {
	if m == never {
		return never
	}
	return m + d
}

// less gives a duration as it is certain to have passed on every clock whose
// rate is within the margin.
func less(m clock.Millis) clock.Millis { return m - margin(m) }

func more(m clock.Millis) clock.Millis { return m + margin(m) }

func margin(m clock.Millis) clock.Millis {
	return (m*provider.RateMarginPermille + 999) / 1000
}
