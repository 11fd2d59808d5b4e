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
	// Claimer decides for one daemon which shards of its data centre it owns.
	// All methods but Authority are for one goroutine.
	//
	// Its times must come from a clock that is never put back and that goes on
	// while the host is suspended.
	Claimer struct {
		identity     string
		daemon       string
		dataCentre   string
		lapse        clock.Millis
		renewEvery   clock.Millis
		stagger      clock.Millis
		promiseLimit clock.Millis
		ledger       *Ledger
		shards       map[string]*shard
		names        []string
		peers        []string
		caughtUpAt   clock.Millis
		leaving      bool
		ids          int64
		published    atomic.Pointer[authorities]
	}

	// Option sets up a Claimer.
	Option func(*Claimer)
)

// Defaults of a Claimer.
const (
	// DefaultLapse is how long a claim holds without a renewal.
	DefaultLapse = 6 * clock.Second
	// DefaultRenewEvery is the time between renewals, and between promises.
	DefaultRenewEvery = 2 * clock.Second
	// DefaultStagger is how much longer each less preferred daemon waits
	// before it claims.
	DefaultStagger = clock.Second / 2
	// DefaultPromiseLimit is how long a holder may go on by promises alone.
	// It must be the same in all daemons.
	DefaultPromiseLimit = 30 * clock.Minute
	// MaxClaimants is the most daemons that a claim lists.
	MaxClaimants = 8

	never clock.Millis = -1
)

// New gives a Claimer of a process. The incarnation tells it from every other
// process that had the same daemon name.
func New(daemon string, incarnation int64, dataCentre string, opts ...Option) (*Claimer, error) {
	c := &Claimer{
		identity:     Identity(daemon, incarnation),
		daemon:       daemon,
		dataCentre:   dataCentre,
		lapse:        DefaultLapse,
		renewEvery:   DefaultRenewEvery,
		stagger:      DefaultStagger,
		promiseLimit: DefaultPromiseLimit,
		ledger:       NewLedger(),
		shards:       map[string]*shard{},
		caughtUpAt:   never,
	}
	for _, o := range opts {
		o(c)
	}
	if daemon == "" || dataCentre == "" {
		return nil, coder.New(coder.Missing, "claimer.New: the daemon and its data centre must be given")
	}
	if c.renewEvery < 1 || c.renewEvery*2 > c.lapse {
		return nil, coder.New(coder.OutOfRange, "claimer.New: the time between renewals, %d ms, must be at most half of the lapse, %d ms", c.renewEvery, c.lapse)
	}
	c.published.Store(&authorities{})
	return c, nil
}

// WithLapse sets how long a claim holds without a renewal, and the time
// between renewals.
func WithLapse(lapse, renewEvery clock.Millis) Option {
	return func(c *Claimer) {
		c.lapse = lapse
		c.renewEvery = renewEvery
	}
}

// WithStagger sets how much longer each less preferred daemon waits.
func WithStagger(m clock.Millis) Option { return func(c *Claimer) { c.stagger = m } }

// WithPromiseLimit sets how long a holder may go on by promises alone.
func WithPromiseLimit(m clock.Millis) Option { return func(c *Claimer) { c.promiseLimit = m } }

// Identity names a process: the daemon and its incarnation.
func Identity(daemon string, incarnation int64) string {
	return daemon + "#" + strconv.FormatInt(incarnation, 10)
}

// DaemonOf gives the daemon's name of an identity.
func DaemonOf(identity string) string {
	name, _, _ := strings.Cut(identity, "#")
	return name
}

// Identity names the process.
func (c *Claimer) Identity() string { return c.identity }

// Ledger gives what the stream's claims add up to, for reading on the same
// goroutine.
func (c *Claimer) Ledger() *Ledger { return c.ledger }

// SetShards sets the number of shards of the data centre.
func (c *Claimer) SetShards(n int) {
	c.names = c.names[:0]
	for i := range n {
		c.names = append(c.names, ShardName(c.dataCentre, i))
	}
}

// SetPeers sets the identities of the other live daemons of the data centre,
// which may claim its shards.
func (c *Claimer) SetPeers(identities []string) {
	c.peers = slices.Sorted(slices.Values(identities))
	if len(c.peers) > MaxClaimants {
		c.peers = c.peers[:MaxClaimants]
	}
}

// Authority gives the authority over a shard at a time, if any. It must be
// asked immediately before every action with the time of then, not on a timer;
// a holder that was paused so finds that it has none. It is safe for
// concurrent use.
func (c *Claimer) Authority(shard string, now clock.Millis) (Authority, bool) {
	return c.published.Load().at(shard, now)
}

// Held gives the shards that the daemon has authority over at a time.
func (c *Claimer) Held(now clock.Millis) []string {
	var held []string
	for _, n := range c.names {
		if _, ok := c.Authority(n, now); ok {
			held = append(held, n)
		}
	}
	return held
}

// Restore sets a shard's state from a snapshot whose base is next. After a hole
// every shard is restored, and then Skip goes to the lowest base.
func (c *Claimer) Restore(now clock.Millis, o *schema.Ownership, next provider.Offset) {
	c.ledger.Restore(o, next)
	c.shard(o.GetShard()).restore(now, o)
	c.publish()
}

// Skip passes over offsets of the stream below next: those before a snapshot, or
// of a record that can't be decoded.
func (c *Claimer) Skip(next provider.Offset) { c.ledger.Skip(next) }

// Observe takes in the record at an offset of the data centre's stream and
// tells whether it counts. Any offset but the ledger's next is passed over.
func (c *Claimer) Observe(now clock.Millis, offset provider.Offset, r *schema.Record) bool {
	if offset != c.ledger.Next() {
		return false
	}
	name, isClaim := claimShard(r)
	was := c.ledger.Holder(name)
	counts := c.ledger.Observe(offset, r)
	if !isClaim {
		return counts
	}
	c.shard(name).observe(now, r, counts, c.ledger.Ownership(name), c.identity)
	if was == c.identity || c.ledger.Holder(name) == c.identity {
		c.publish()
	}
	return counts
}

// CaughtUp notes that a read that began at a time reached the end of the
// stream. Only a daemon that has lately caught up claims; after a hole, that
// takes a snapshot.
func (c *Claimer) CaughtUp(began clock.Millis) {
	if c.caughtUpAt == never {
		for _, s := range c.shards {
			s.readAt = max(s.readAt, began)
		}
	}
	c.caughtUpAt = max(c.caughtUpAt, began)
}

// Leave gives up every shard: authority ends at once, and Step asks for the
// releases. Orders on their way must have been answered before.
func (c *Claimer) Leave() {
	c.leaving = true
	for _, s := range c.shards {
		s.sentAt = never
	}
	c.publish()
}

// Left tells whether, after Leave, no shard is the daemon's any more.
func (c *Claimer) Left() bool {
	for n, s := range c.shards {
		if c.ledger.Holder(n) == c.identity || s.claiming() {
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
	held := authorities{}
	for n, s := range c.shards {
		if c.leaving || c.ledger.Holder(n) != c.identity {
			continue
		}
		held[n] = Authority{epoch: c.ledger.Epoch(n), until: s.until(c), clearAt: s.clearAt}
	}
	c.published.Store(&held)
}

func (c *Claimer) record() *schema.Record {
	c.ids++
	return &schema.Record{Id: c.identity + "/" + strconv.FormatInt(c.ids, 10), Daemon: c.daemon}
}

func claimShard(r *schema.Record) (string, bool) {
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

// less gives a duration as it is certain to have passed on every clock whose
// rate is within the margin: the holder's side of a wait.
func less(m clock.Millis) clock.Millis { return m - margin(m) }

// more is the taker's side of a wait.
func more(m clock.Millis) clock.Millis { return m + margin(m) }

func margin(m clock.Millis) clock.Millis {
	return (m*provider.RateMarginPermille + 999) / 1000
}
