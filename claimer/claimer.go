package claimer

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Claimer claims shards of a data centre for one daemon, and renews and releases
	// the claims. Authority is safe for concurrent use; the other methods must be
	// called from one goroutine.
	//
	// All times must come from a monotonic clock that also advances while the host is
	// suspended.
	Claimer struct {
		identity      string
		daemon        string
		dataCentre    string
		claimTTL      clock.Millis
		renewInterval clock.Millis
		stagger       clock.Millis
		promiseLimit  clock.Millis
		ledger        *Ledger
		shards        map[string]*shard
		shardNames    []string
		peers         []string
		caughtUpAt    clock.Millis
		leaving       bool
		lastRecordID  int64
		published     atomic.Pointer[authorityByShard]
	}

	// Option configures a Claimer in New.
	Option func(*Claimer)
)

// Defaults and limits of a Claimer.
const (
	// DefaultClaimTTL is how long a claim lasts without a renewal.
	DefaultClaimTTL = 6 * clock.Second
	// DefaultRenewInterval is the time between renewals, and between requests for
	// promises.
	DefaultRenewInterval = 2 * clock.Second
	// DefaultStagger is the delay between the claims of daemons of consecutive rank,
	// so that the most preferred one usually claims alone.
	DefaultStagger = clock.Second / 2
	// DefaultPromiseLimit is how long after its newest confirmed record a holder may
	// keep its authority by promises, while it can't renew. All daemons must use the
	// same limit, since a new holder derives from it when earlier ones have stopped.
	DefaultPromiseLimit = 30 * clock.Minute
	// MaxClaimants is the maximum number of daemons that a claim lists.
	MaxClaimants = 8

	// never is the time of something that has not happened.
	never clock.Millis = -1
)

// New returns a Claimer for a process. The incarnation distinguishes the process from
// earlier ones of the same daemon. The error has the code Missing for an empty name and
// OutOfRange for a renewal interval below 1 ms or above half the claim TTL.
func New(daemon string, incarnation int64, dataCentre string, opts ...Option) (*Claimer, error) {
	c := &Claimer{
		identity:      Identity(daemon, incarnation),
		daemon:        daemon,
		dataCentre:    dataCentre,
		claimTTL:      DefaultClaimTTL,
		renewInterval: DefaultRenewInterval,
		stagger:       DefaultStagger,
		promiseLimit:  DefaultPromiseLimit,
		ledger:        NewLedger(),
		shards:        map[string]*shard{},
		caughtUpAt:    never,
	}
	for _, o := range opts {
		o(c)
	}
	if daemon == "" || dataCentre == "" {
		return nil, coder.New(coder.Missing, "claimer.New: the names of the daemon and its data centre must not be empty")
	}
	if c.renewInterval < 1 || c.renewInterval*2 > c.claimTTL {
		return nil, coder.New(coder.OutOfRange, "claimer.New: the renewal interval, %d ms, must be between 1 ms and half the claim TTL, %d ms", c.renewInterval, c.claimTTL)
	}
	c.published.Store(&authorityByShard{})
	return c, nil
}

// WithLapse sets how long a claim lasts without a renewal, and the time between
// renewals.
func WithLapse(ttl, renewInterval clock.Millis) Option {
	return func(c *Claimer) {
		c.claimTTL = ttl
		c.renewInterval = renewInterval
	}
}

// WithStagger sets the delay between the claims of daemons of consecutive rank.
func WithStagger(m clock.Millis) Option { return func(c *Claimer) { c.stagger = m } }

// WithPromiseLimit sets how long after its newest confirmed record a holder may keep
// its authority by promises.
func WithPromiseLimit(m clock.Millis) Option { return func(c *Claimer) { c.promiseLimit = m } }

// Identity returns the name of a process, DAEMON#INCARNATION.
func Identity(daemon string, incarnation int64) string {
	return daemon + "#" + strconv.FormatInt(incarnation, 10)
}

// DaemonOf returns the name of the daemon in an identity.
func DaemonOf(identity string) string {
	name, _, _ := strings.Cut(identity, "#")
	return name
}

// Identity returns the identity of the Claimer's process.
func (c *Claimer) Identity() string { return c.identity }

// Ledger returns the ownerships as of the last observed record. It must only be read, on
// the Claimer's goroutine.
func (c *Claimer) Ledger() *Ledger { return c.ledger }

// SetShards sets the number of shards of the data centre. Only these are claimed.
func (c *Claimer) SetShards(n int) {
	c.shardNames = c.shardNames[:0]
	for i := range n {
		c.shardNames = append(c.shardNames, ShardName(c.dataCentre, i))
	}
}

// SetPeers sets the identities of the other live daemons of the data centre, which may
// claim its shards. Only the first MaxClaimants in order of identity are kept.
func (c *Claimer) SetPeers(identities []string) {
	c.peers = slices.Sorted(slices.Values(identities))
	if len(c.peers) > MaxClaimants {
		c.peers = c.peers[:MaxClaimants]
	}
}

// Authority returns the authority over a shard at now, if any. Call it with the current
// time immediately before every action, not on a timer: a process that was paused past
// the end of its authority must notice this before it acts. It is safe for concurrent
// use.
func (c *Claimer) Authority(shard string, now clock.Millis) (Authority, bool) {
	return c.published.Load().validAt(shard, now)
}

// Held returns the names of the shards that the daemon has authority over at now.
func (c *Claimer) Held(now clock.Millis) []string {
	var held []string
	for _, n := range c.shardNames {
		if _, ok := c.Authority(n, now); ok {
			held = append(held, n)
		}
	}
	return held
}

// Restore sets the state of a shard from a snapshot that covers the stream's records
// below next. After a gap in the stream, restore every shard, then call Skip with the
// lowest next.
func (c *Claimer) Restore(now clock.Millis, o *schema.Ownership, next provider.Offset) {
	c.ledger.Restore(o, next)
	c.shard(o.GetShard()).restore(now, o)
	c.publish()
}

// Skip makes next the next offset to observe, unless it is already higher. It skips
// records covered by snapshots and records that can't be decoded.
func (c *Claimer) Skip(next provider.Offset) { c.ledger.Skip(next) }

// Observe applies the record at an offset of the data centre's stream and reports whether
// it is valid. A record at any offset but the ledger's next one is ignored.
func (c *Claimer) Observe(now clock.Millis, offset provider.Offset, r *schema.Record) bool {
	if offset != c.ledger.Next() {
		return false
	}
	name, isOwnership := ownershipShard(r)
	previousHolder := c.ledger.Holder(name)
	valid := c.ledger.Observe(offset, r)
	if !isOwnership {
		return valid
	}
	c.shard(name).observe(now, r, valid, c.ledger.Ownership(name), c.identity)
	if previousHolder == c.identity || c.ledger.Holder(name) == c.identity {
		c.publish()
	}
	return valid
}

// CaughtUp records that a read which started at startedAt reached the end of the stream.
// A daemon claims only if such a read started within the last renewal interval. After a
// gap in the stream, a snapshot must be restored first.
func (c *Claimer) CaughtUp(startedAt clock.Millis) {
	if c.caughtUpAt == never {
		for _, s := range c.shards {
			s.readAt = max(s.readAt, startedAt)
		}
	}
	c.caughtUpAt = max(c.caughtUpAt, startedAt)
}

// Leave gives up every shard. Authority ends immediately, and the next Step returns the
// releases. Call it only when no order is in flight.
func (c *Claimer) Leave() {
	c.leaving = true
	for _, s := range c.shards {
		s.lastSentAt = never
	}
	c.publish()
}

// Left reports whether Leave was called and the process neither holds a shard nor has a
// pending claim.
func (c *Claimer) Left() bool {
	for n, s := range c.shards {
		if c.ledger.Holder(n) == c.identity || s.claimPending() {
			return false
		}
	}
	return c.leaving
}

func (c *Claimer) shard(name string) *shard {
	s, known := c.shards[name]
	if !known {
		s = newShard(name)
		c.shards[name] = s
	}
	return s
}

func (c *Claimer) publish() {
	held := authorityByShard{}
	for n, s := range c.shards {
		if c.leaving || c.ledger.Holder(n) != c.identity {
			continue
		}
		held[n] = Authority{epoch: c.ledger.Epoch(n), until: s.authorityUntil(c), clearAt: s.clearAt}
	}
	c.published.Store(&held)
}

func (c *Claimer) newRecord() *schema.Record {
	c.lastRecordID++
	return &schema.Record{Id: c.identity + "/" + strconv.FormatInt(c.lastRecordID, 10), Daemon: c.daemon}
}

func ownershipShard(r *schema.Record) (string, bool) {
	switch b := r.GetBody().(type) {
	case *schema.Record_Claim:
		return b.Claim.GetShard(), true
	case *schema.Record_Renewal:
		return b.Renewal.GetShard(), true
	case *schema.Record_Release:
		return b.Release.GetShard(), true
	}
	return "", false
}

// minusDrift shortens a duration by the maximum clock drift. A holder uses it to stop
// before any other clock has measured the full duration.
func minusDrift(m clock.Millis) clock.Millis { return m - driftMargin(m) }

// plusDrift lengthens a duration by the maximum clock drift. A claimant uses it to wait
// until the holder's clock has measured the full duration.
func plusDrift(m clock.Millis) clock.Millis { return m + driftMargin(m) }

func driftMargin(m clock.Millis) clock.Millis {
	return (m*provider.RateMarginPermille + 999) / 1000
}
