// Package replicator maintains a daemon's copy of the configuration, which is the state
// after a prefix of the config stream. The copy only moves forward. Daemons pass records
// on to each other, and work may start only while the copy is confirmed to be recent
// enough.
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
	// Replicator is one daemon's copy of the configuration. State, StartAllowed,
	// StartUntil and Ready are safe for concurrent use; all other methods must be called
	// from one goroutine.
	//
	// Times passed to it must come from a monotonic clock that also advances while the
	// host is suspended.
	Replicator struct {
		process      string
		daemon       string
		dataCentre   string
		maxStaleness clock.Millis
		outageLimit  clock.Millis
		startedAt    clock.Millis

		replica       *replica
		recovery      *collector
		recentEntries recentEntries
		peers         map[string]Peer
		peerStates    map[string]peerState
		// upToDateAt is the latest time at which the replica is known to have held every
		// record of the log. upToDateByLogAt counts only the confirmations by reading the
		// log, not those by a peer.
		upToDateAt      clock.Millis
		upToDateByLogAt clock.Millis
		// membersCurrentAt is the latest time at which no member had appended a record
		// that the replica lacks.
		membersCurrentAt clock.Millis
		caughtUp         bool
		// inFlight has the send time of each record that was appended but not read back,
		// by id.
		inFlight         map[string]clock.Millis
		membershipSentAt clock.Millis
		// droppedAt is when this process last dropped a member, by daemon.
		droppedAt    map[string]clock.Millis
		joinedAt     clock.Millis
		snapshotAt   clock.Millis
		snapshotBase provider.Offset
		lastID       int64
		published    atomic.Pointer[published]
	}

	// published is the immutable state that other goroutines read.
	published struct {
		state      *declarer.State
		startUntil clock.Millis
		ready      bool
	}

	// Option configures a Replicator.
	Option func(*Replicator)
)

// Default limits of a Replicator.
const (
	// DefaultMaxStaleness is how long after its last confirmation the configuration may
	// still be used to start work.
	DefaultMaxStaleness = 3 * clock.Second
	// DefaultOutageLimit is how long work may still start during an outage of the log, on
	// the confirmation of all members alone. It must be the same in all daemons.
	DefaultOutageLimit = 30 * clock.Minute
	// DropAfter is how long a member must have been dead before it is dropped.
	DropAfter = 30 * clock.Second

	// inFlightTimeout is how long after it was sent a record that hasn't been read back is
	// assumed not to have reached the log.
	inFlightTimeout = clock.Minute
	// redropDelay is how long a member that was dropped and added again isn't dropped
	// again.
	redropDelay              = 10 * clock.Minute
	snapshotInterval         = 6 * clock.Hour
	maxRecordsBeforeSnapshot = 500
	snapshotStagger          = clock.Minute
	membershipInterval       = 2 * clock.Second
	chunkBytes               = 256 << 10
	maxChunks                = 256

	// never stands for the time of something that hasn't happened; it is earlier than any
	// other time.
	never clock.Millis = -1 << 60
)

// New returns the Replicator of a process that starts at now with an empty configuration.
// The process is the daemon with its incarnation, as claimer.Identity returns it. An
// empty argument is an error of code Missing.
func New(process, daemon, dataCentre string, now clock.Millis, opts ...Option) (*Replicator, error) {
	if process == "" || daemon == "" || dataCentre == "" {
		return nil, coder.New(coder.Missing, "replicator.New: the process, its daemon and its data centre must not be empty")
	}
	r := &Replicator{
		process:          process,
		daemon:           daemon,
		dataCentre:       dataCentre,
		maxStaleness:     DefaultMaxStaleness,
		outageLimit:      DefaultOutageLimit,
		startedAt:        now,
		replica:          newReplica(),
		peers:            map[string]Peer{},
		peerStates:       map[string]peerState{},
		upToDateAt:       never,
		upToDateByLogAt:  never,
		membersCurrentAt: never,
		inFlight:         map[string]clock.Millis{},
		droppedAt:        map[string]clock.Millis{},
		joinedAt:         never,
		membershipSentAt: never,
		snapshotAt:       never,
	}
	for _, o := range opts {
		o(r)
	}
	r.publish()
	return r, nil
}

// WithMaxStaleness sets how long after its last confirmation the configuration may be
// used to start work.
func WithMaxStaleness(m clock.Millis) Option { return func(r *Replicator) { r.maxStaleness = m } }

// WithOutageLimit sets how long work may start on the confirmation of all members alone.
func WithOutageLimit(m clock.Millis) Option { return func(r *Replicator) { r.outageLimit = m } }

// State returns the configuration in force at the daemon.
func (r *Replicator) State() *declarer.State { return r.published.Load().state }

// Ready reports whether the daemon may serve: its configuration is at least as new as any
// that the log, or during an outage of the log a peer, has shown.
func (r *Replicator) Ready() bool { return r.published.Load().ready }

// StartAllowed reports whether the configuration is recent enough at now for work to
// start: the log, a peer with a recent view, or all members confirmed it within the
// maximum staleness. It doesn't consider drains, which are part of State.
func (r *Replicator) StartAllowed(now clock.Millis) bool { return now < r.StartUntil() }

// StartUntil returns the time at which the present permission to start work expires. An
// order to start must not take effect later.
func (r *Replicator) StartUntil() clock.Millis { return r.published.Load().startUntil }

// Next returns the offset from which to read the config stream next.
func (r *Replicator) Next() provider.Offset {
	if r.recovery != nil && len(r.recovery.entries) > 0 {
		return r.recovery.entries[len(r.recovery.entries)-1].Offset + 1
	}
	return r.replica.next()
}

// Member reports whether the process is a member in the configuration, and so may change
// it.
func (r *Replicator) Member() bool {
	_, member := r.replica.members[r.process]
	return member
}

// SetPeers sets the processes of the other daemons. It forgets the reported state of
// processes that are neither peers nor members.
func (r *Replicator) SetPeers(peers []Peer) {
	clear(r.peers)
	for _, p := range peers {
		r.peers[p.Process] = p
	}
	maps.DeleteFunc(r.peerStates, func(p string, _ peerState) bool {
		_, peer := r.peers[p]
		_, member := r.replica.members[p]
		return !peer && !member
	})
}

// MemberProgress returns, in order of process, up to which offset each member was last
// reported to have applied the config stream.
func (r *Replicator) MemberProgress(now clock.Millis) []MemberProgress {
	progress := make([]MemberProgress, 0, len(r.replica.members))
	for _, p := range r.sortedMembers() {
		member := MemberProgress{process: p, dataCentre: r.replica.members[p], heardAt: never}
		if h, known := r.peerStates[p]; known {
			member.next, member.heardAt = h.next, h.heardAt
		}
		if p == r.process {
			member.next, member.heardAt = r.replica.next(), now
		}
		progress = append(progress, member)
	}
	return progress
}

func (r *Replicator) newRecord(now clock.Millis) *schema.Record {
	r.lastID++
	return &schema.Record{Id: r.process + "/config/" + strconv.FormatInt(r.lastID, 10), AtMillis: int64(now), Daemon: r.daemon}
}

// advance replaces the replica by newer; an older one is ignored.
func (r *Replicator) advance(now clock.Millis, newer *replica) {
	if newer.next() <= r.replica.next() {
		return
	}
	_, wasMember := r.replica.members[r.process]
	r.replica = newer
	if _, isMember := newer.members[r.process]; isMember && !wasMember {
		r.joinedAt = now
	}
}

func (r *Replicator) publish() {
	currentByMembers := min(r.membersCurrentAt, addToTime(r.upToDateByLogAt, shortenForDrift(r.outageLimit)))
	until := addToTime(max(r.upToDateAt, currentByMembers), shortenForDrift(r.maxStaleness))
	r.published.Store(&published{state: r.replica.state, startUntil: until, ready: r.caughtUp})
}

// addToTime returns m+d, or never if m is never.
func addToTime(m, d clock.Millis) clock.Millis {
	if m == never {
		return never
	}
	return m + d
}

// shortenForDrift returns a duration that, measured on any clock within the allowed drift,
// certainly lasts no longer than m.
func shortenForDrift(m clock.Millis) clock.Millis { return m - driftMargin(m) }

// lengthenForDrift returns a duration that, measured on any clock within the allowed
// drift, certainly lasts no less than m.
func lengthenForDrift(m clock.Millis) clock.Millis { return m + driftMargin(m) }

func driftMargin(m clock.Millis) clock.Millis {
	return (m*provider.RateMarginPermille + 999) / 1000
}
