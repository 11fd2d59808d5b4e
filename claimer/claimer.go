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
		// identity is the name of the process, see Identity.
		identity      string
		daemon        string
		dataCentre    string
		claimTTL      clock.Millis
		renewInterval clock.Millis
		stagger       clock.Millis
		promiseLimit  clock.Millis
		ledger        *Ledger
		// shards are the states of all shards seen so far, by name. claimableShards are
		// the names of the data centre's present shards, which the daemon may claim.
		shards          map[string]*shard
		claimableShards []string
		peers           []string
		// fullReadStartedAt is when the newest read that reached the end of the stream
		// started.
		fullReadStartedAt clock.Millis
		leaving           bool
		lastRecordID      int64
		// authorities are the authorities as of the last change, for use by Authority on
		// any goroutine.
		authorities atomic.Pointer[authorityByShard]
	}

	// Option configures a Claimer in New.
	Option func(*Claimer)
)

// Defaults and limits of a Claimer.
const (
	// DefaultClaimTTL is how long a claim lasts without a renewal.
	DefaultClaimTTL = 6 * clock.Second
	// DefaultRenewInterval is the time between renewals, and between requests to the
	// other daemons to promise not to claim the shard.
	DefaultRenewInterval = 2 * clock.Second
	// DefaultStagger is how much longer each daemon waits before it claims a shard than
	// the one before it in the shard's order of preference (see Rank). Usually only the
	// first one claims.
	DefaultStagger = clock.Second / 2
	// DefaultPromiseLimit is how long a holder that can't renew may keep its authority
	// by promises of the other daemons, counted from when it sent the newest claim or
	// renewal that it has read back as valid. All daemons must use the same limit, since
	// a new holder computes from it when the authority of earlier holders ends.
	DefaultPromiseLimit = 30 * clock.Minute
	// MaxClaimants is the maximum number of claimants that a claim or renewal lists.
	// These are the processes of other daemons that may claim the shard next.
	MaxClaimants = 8

	// noTime stands for the time of an event that has not happened, or for no time.
	noTime clock.Millis = -1
)

// New returns a Claimer for a process. The incarnation distinguishes the process from
// earlier ones of the same daemon. The error has the code Missing for an empty name and
// OutOfRange for a renewal interval below 1 ms or above half the claim TTL.
func New(daemon string, incarnation int64, dataCentre string, opts ...Option) (*Claimer, error) {
	c := &Claimer{
		identity:          Identity(daemon, incarnation),
		daemon:            daemon,
		dataCentre:        dataCentre,
		claimTTL:          DefaultClaimTTL,
		renewInterval:     DefaultRenewInterval,
		stagger:           DefaultStagger,
		promiseLimit:      DefaultPromiseLimit,
		ledger:            NewLedger(),
		shards:            map[string]*shard{},
		fullReadStartedAt: noTime,
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
	c.authorities.Store(&authorityByShard{})
	return c, nil
}

// WithClaimTTL sets how long a claim lasts without a renewal, and the time between
// renewals.
func WithClaimTTL(ttl, renewInterval clock.Millis) Option {
	return func(c *Claimer) {
		c.claimTTL = ttl
		c.renewInterval = renewInterval
	}
}

// WithStagger sets the delay between the claims of daemons of consecutive rank (see Rank).
func WithStagger(m clock.Millis) Option { return func(c *Claimer) { c.stagger = m } }

// WithPromiseLimit sets how long a holder that can't renew may keep its authority by
// promises. All daemons must use the same limit, see DefaultPromiseLimit.
func WithPromiseLimit(m clock.Millis) Option { return func(c *Claimer) { c.promiseLimit = m } }

// Identity returns the identity of one process of a daemon, DAEMON#INCARNATION.
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

// Ledger returns the ownerships as of the last observed record. The caller must not modify
// it, and may use it only on the goroutine that calls the Claimer.
func (c *Claimer) Ledger() *Ledger { return c.ledger }

// SetShards sets how many shards the data centre has. Only shards 0 to n-1 are claimed.
func (c *Claimer) SetShards(n int) {
	c.claimableShards = c.claimableShards[:0]
	for i := range n {
		c.claimableShards = append(c.claimableShards, ShardName(c.dataCentre, i))
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
	return c.authorities.Load().validAt(shard, now)
}

// ShardsWithAuthority returns the names of the shards that the daemon has authority over at now.
func (c *Claimer) ShardsWithAuthority(now clock.Millis) []string {
	var held []string
	for _, n := range c.claimableShards {
		if _, ok := c.Authority(n, now); ok {
			held = append(held, n)
		}
	}
	return held
}

// Restore sets the state of a shard from a snapshot that covers the stream's records
// before the offset next. After a gap in the stream, restore every shard, then call Skip
// with the lowest of the offsets.
func (c *Claimer) Restore(now clock.Millis, o *schema.Ownership, next provider.Offset) {
	c.ledger.Restore(o, next)
	c.shard(o.GetShard()).restore(now, o)
	c.storeAuthorities()
}

// Skip moves the next offset to observe forward to next, never back. Call it for records
// that a snapshot covers or that can't be decoded.
func (c *Claimer) Skip(next provider.Offset) { c.ledger.Skip(next) }

// Observe applies the record at an offset of the data centre's stream and reports whether
// it is valid. A record at any offset but the ledger's next one is ignored.
func (c *Claimer) Observe(now clock.Millis, offset provider.Offset, r *schema.Record) bool {
	if offset != c.ledger.Next() {
		return false
	}
	name, found := claimedShard(r)
	previousHolder := c.ledger.Holder(name)
	valid := c.ledger.Observe(offset, r)
	if !found {
		return valid
	}
	c.shard(name).observe(now, r, valid, c.ledger.Ownership(name), c.identity)
	if previousHolder == c.identity || c.ledger.Holder(name) == c.identity {
		c.storeAuthorities()
	}
	return valid
}

// MarkCaughtUp records that a read which started at startedAt reached the end of the stream.
// A daemon claims only if such a read started within the last renewal interval. After a
// gap in the stream, a snapshot must be restored first.
func (c *Claimer) MarkCaughtUp(startedAt clock.Millis) {
	if c.fullReadStartedAt == noTime {
		for _, s := range c.shards {
			s.readAt = max(s.readAt, startedAt)
		}
	}
	c.fullReadStartedAt = max(c.fullReadStartedAt, startedAt)
}

// Leave gives up every shard. Authority ends immediately, and the next Step returns the
// releases. Call it only when no order to a worker of the shards is in flight.
func (c *Claimer) Leave() {
	c.leaving = true
	for _, s := range c.shards {
		s.lastSentAt = noTime
	}
	c.storeAuthorities()
}

// AllReleased reports whether Leave was called and the process neither holds a shard nor has a
// pending claim.
func (c *Claimer) AllReleased() bool {
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

// storeAuthorities makes the current authorities visible to Authority on other goroutines.
func (c *Claimer) storeAuthorities() {
	held := authorityByShard{}
	for n, s := range c.shards {
		if c.leaving || c.ledger.Holder(n) != c.identity {
			continue
		}
		held[n] = Authority{epoch: c.ledger.Epoch(n), until: s.authorityUntil(c), clearAt: s.clearAt}
	}
	c.authorities.Store(&held)
}

// newRecord returns a record without a body. Its ID is unique, since it contains the
// identity of the process.
func (c *Claimer) newRecord() *schema.Record {
	c.lastRecordID++
	return &schema.Record{Id: c.identity + "/" + strconv.FormatInt(c.lastRecordID, 10), Daemon: c.daemon}
}

// claimedShard returns the shard of a claim, renewal or release, and whether the record
// is one of them.
func claimedShard(r *schema.Record) (string, bool) {
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

// shortenForDrift shortens a duration by the maximum clock drift. A holder uses it to stop
// before any other clock has measured the full duration.
func shortenForDrift(m clock.Millis) clock.Millis { return m - driftMargin(m) }

// lengthenForDrift lengthens a duration by the maximum clock drift. A claimant uses it to
// wait until the holder's clock has measured the full duration.
func lengthenForDrift(m clock.Millis) clock.Millis { return m + driftMargin(m) }

func driftMargin(m clock.Millis) clock.Millis {
	return (m*provider.RateMarginPermille + 999) / 1000
}
