package elector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
)

type (
	// Term is the time for which this daemon leads after an election. Its epoch is that
	// of the daemon's claim.
	Term struct {
		Epoch int64
		// PredecessorStopped is whether all previous leaders are known to have stopped.
		PredecessorStopped bool
		// Predecessor is the claim of the previous leader, with the time of its last renewal.
		Predecessor Claim
		// Relay continues the clock that the previous leaders have handed on.
		Relay     *clock.Relay
		claimedAt clock.Millis
		// renewedAt is when the newest stored claim of this term was encoded, in ms.
		renewedAt *atomic.Int64
		// sighting is added to each renewal.
		sighting *atomic.Pointer[Sighting]
		writer   *recorder.Writer
	}

	// Elector takes part in the election for one daemon until Close.
	Elector struct {
		mu      sync.Mutex
		monitor *Monitor
		// newestClaim is the newest claim that was read or made.
		newestClaim Claim

		store    recorder.Store
		now      func() clock.Millis
		emit     func(logger.Event, ...logger.Field)
		host     string
		address  string
		instance string
		lead     func(context.Context, Term)
		// cancelTerm ends the term of this daemon; nil while it does not lead.
		cancelTerm context.CancelFunc
		// claimDelay is how long this host waits before it makes a claim that is due.
		claimDelay clock.Millis

		cancel context.CancelFunc
		group  sync.WaitGroup
		ctx    context.Context
	}

	// Option configures an Elector.
	Option func(*Elector)
)

const (
	topic = "leader"
	// minCores limits claimDelay to 0.8 s on the weakest hosts.
	minCores = 0.05
	// renewInterval is the time between renewals.
	renewInterval = 500 * clock.Millis(1)
	// claimTimeout is how long a claim is valid without a renewal: three intervals, one
	// of which a slow store may need for its answer.
	claimTimeout = 1500 * clock.Millis(1)
	// claimJitter is the bound, in ms, of the random delay that keeps daemons from
	// claiming at the same time.
	claimJitter = 60
	// oneCoreDelay is the delay before a claim on a host with one core. Hosts with fewer
	// cores wait longer in proportion, so that the strongest host becomes the leader.
	oneCoreDelay = 40 * clock.Millis(1)
	// bootstrapDelay is added to the delay if there has never been a claim. All daemons
	// start within 300 ms of each other, so all of them run by then and the strongest
	// host claims first.
	bootstrapDelay = 400 * clock.Millis(1)
	// settleTime is how long after a claim a former leader that is not known to have
	// stopped may still send orders. It allows for a takeover with a slow store, and for the
	// few seconds after which a leader that can't renew its claim stops on its own.
	settleTime = 30 * clock.Second
	// checkInterval is the period at which the elector checks whether a claim is due.
	checkInterval = 100 * clock.Millis(1)
	// readWait is how long the store may hold a read until there is a new claim (long
	// polling).
	readWait = 1000 * clock.Millis(1)
)

// WithEvents sets the function that logs decisions.
func WithEvents(emit func(logger.Event, ...logger.Field)) Option {
	return func(e *Elector) { e.emit = emit }
}

// WithClock sets the monotonic clock. It must not stop while the host is suspended.
func WithClock(now func() clock.Millis) Option { return func(e *Elector) { e.now = now } }

// WithCores sets the host's share of processors, in cores. Hosts with more cores claim
// earlier.
func WithCores(c float64) Option {
	return func(e *Elector) { e.claimDelay = clock.Millis(float64(oneCoreDelay) / max(c, minCores)) }
}

// New starts to take part in the election. lead is called each time this daemon is
// elected. Its context ends when another daemon becomes the leader, and the term is over
// when lead returns. instance identifies this process among all that the host has run.
func New(s recorder.Store, host, address, instance string, lead func(context.Context, Term), opts ...Option) *Elector {
	e := &Elector{
		monitor: NewMonitor(host, address, instance, claimTimeout), store: s, now: clock.System,
		emit: func(logger.Event, ...logger.Field) {}, host: host, address: address, instance: instance, lead: lead,
	}
	for _, o := range opts {
		o(e)
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	f := recorder.Follow(s, topic, recorder.PollTiming{Wait: readWait}, recorder.Callbacks{
		Reset:  func(m map[string][]byte) { e.observe(m[Key]) },
		Change: e.observeChange,
		Read:   func(_, _ clock.Millis) { e.mu.Lock(); e.monitor.ReadSucceeded(e.now()); e.mu.Unlock() },
		Failed: func(error) { e.mu.Lock(); e.monitor.ReadFailed(); e.mu.Unlock() },
	})
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		defer f.Close()
		for recorder.Sleep(e.ctx, checkInterval) {
			e.campaign()
		}
	}()
	return e
}

// Leader returns the address of the leader and whether it is this daemon. The address is
// empty if no leader is known.
func (e *Elector) Leader() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newestClaim.Resigned {
		return "", false
	}
	return e.newestClaim.Address, e.newestClaim.Instance == e.instance
}

// MergeClaim records a claim that a peer has reported, unless a newer one is known or it is none that
// a host can have made.
func (e *Elector) MergeClaim(c Claim) {
	if c.validate() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopt(c)
}

// NewestClaim returns the newest known claim.
func (e *Elector) NewestClaim() Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestClaim
}

// Close ends the term, if this daemon leads, and leaves the election.
func (e *Elector) Close() {
	e.cancel()
	e.group.Wait()
}

// observeChange records the newest claim among new records.
func (e *Elector) observeChange(items []recorder.Item) {
	for _, i := range slices.Backward(items) {
		if i.Key == Key {
			e.observe(i.Value)
			return
		}
	}
}

// observe records the claim that was read from the store. One that can't be read says nothing of the
// leader that is known.
func (e *Elector) observe(value []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.decode(value)
	if !ok {
		e.monitor.ObserveUnreadable(e.now())
		return
	}
	e.monitor.Observe(c, e.now())
	e.adopt(c)
}

// decode returns the claim of a record, the zero one without a record. It logs a record that can't be
// read, and returns false.
func (e *Elector) decode(value []byte) (Claim, bool) {
	if len(value) == 0 {
		return Claim{}, true
	}
	c, err := Decode(value)
	if err != nil {
		e.emit(logger.RecordInvalid, logger.String("key", Key), logger.Err(err))
		return Claim{}, false
	}
	return c, true
}

// adopt sets the known leader, and ends this daemon's term if the claim is a newer one of
// another daemon. e.mu must be held.
func (e *Elector) adopt(c Claim) {
	if c.Epoch < e.newestClaim.Epoch {
		return
	}
	if c.Epoch > e.newestClaim.Epoch && c.Instance != e.instance {
		e.emit(logger.LeaderChanged, logger.Int("epoch", c.Epoch), logger.String("leader", c.Host))
	}
	if e.cancelTerm != nil && c.Epoch > e.newestClaim.Epoch && c.Instance != e.instance {
		e.cancelTerm()
	}
	e.newestClaim = c
}

// campaign makes a claim if one is due, and leads if it succeeds.
func (e *Elector) campaign() {
	e.mu.Lock()
	due := e.monitor.Due(e.now())
	wait := e.claimDelay + clock.Millis(rand.Int64N(claimJitter))
	if e.monitor.NeverClaimed() {
		wait += bootstrapDelay
	}
	e.mu.Unlock()
	if !due || !recorder.Sleep(e.ctx, wait) {
		return
	}
	t, ok := e.claim()
	if !ok {
		return
	}
	e.emit(logger.LeaderElected, logger.Int("epoch", t.Epoch))
	ctx, cancel := context.WithCancel(e.ctx)
	e.setCancelTerm(cancel)
	renewals := make(chan struct{})
	go func() {
		defer close(renewals)
		defer cancel()
		e.renew(ctx, t)
	}()
	e.lead(ctx, t)
	e.setCancelTerm(nil)
	cancel()
	<-renewals
	e.emit(logger.LeaderDeposed, logger.Int("epoch", t.Epoch))
	e.mu.Lock()
	if e.newestClaim.Instance == e.instance {
		e.newestClaim.Resigned = true
	}
	e.mu.Unlock()
	e.resign(t)
}

func (e *Elector) setCancelTerm(f context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelTerm = f
}

// claim appends a claim on the condition that the newest one is unchanged.
func (e *Elector) claim() (Term, bool) {
	ctx, cancel := context.WithTimeout(e.ctx, (4 * renewInterval).Duration())
	defer cancel()
	items, end, err := recorder.Load(ctx, e.store, topic)
	if err != nil {
		e.emit(logger.ClaimFailed, logger.Err(err))
		return Term{}, false
	}
	previous, readable := e.decode(items[Key])
	e.mu.Lock()
	former := previous.Epoch
	if readable {
		e.monitor.Observe(previous, e.now())
	} else {
		e.monitor.ObserveUnreadable(e.now())
		// Epochs rise by one with each election, so that the time of day in seconds is above those
		// that the record has replaced.
		former = max(e.newestClaim.Epoch, int64(clock.System()/clock.Second))
	}
	due, stopped := e.monitor.Due(e.now()), e.monitor.PredecessorStopped()
	_, seenAt := e.monitor.Newest()
	e.mu.Unlock()
	if !due {
		return Term{}, false
	}
	t := Term{Epoch: former + 1, PredecessorStopped: stopped, Predecessor: previous, claimedAt: e.now(), renewedAt: &atomic.Int64{}, sighting: &atomic.Pointer[Sighting]{}}
	// Any reading can be the first. The time of day lets a clock that starts again after leaders
	// of a version without it show more than it did before.
	if previous.Time != 0 {
		t.Relay = clock.NewRelay(e.now, previous.Time, seenAt)
	} else {
		t.Relay = clock.NewRelay(e.now, clock.System(), e.now())
	}
	c := e.claimOf(t)
	t.writer = recorder.NewWriter(e.store, topic, end, e.ownClaim(c.Epoch), recorder.WithClock(e.now))
	if err := t.writer.Append(ctx, []recorder.Item{{Key: Key, Value: c.Encode()}}); err != nil {
		if !errors.Is(err, recorder.ErrDeposed) {
			// A claim that lost to another daemon is not logged here, but when the other
			// claim is read.
			e.emit(logger.ClaimFailed, logger.Err(err))
		}
		return Term{}, false
	}
	e.mu.Lock()
	e.newestClaim = c
	e.mu.Unlock()
	t.renewedAt.Store(int64(t.claimedAt))
	t.claimedAt = e.now()
	return t, true
}

// ownClaim returns a function that reports whether an item is a claim of this process with
// the given epoch. A claim that it made in an earlier term may be stored late.
func (e *Elector) ownClaim(epoch int64) func(recorder.Item) bool {
	return func(i recorder.Item) bool {
		c, err := Decode(i.Value)
		return err == nil && c.Instance == e.instance && c.Epoch == epoch
	}
}

// claimOf returns the current claim of a term, without its renewal number.
func (e *Elector) claimOf(t Term) Claim {
	now := e.now()
	var s Sighting
	if p := t.sighting.Load(); p != nil {
		s = *p
	}
	return Claim{
		Epoch: t.Epoch, Host: e.host, Address: e.address, Instance: e.instance,
		Unsettled: !t.PredecessorStopped && now-t.claimedAt < settleTime,
		Time:      t.Relay.At(now),
		Sighting:  s,
	}
}

// renew renews the claim until the context ends or another daemon claims.
func (e *Elector) renew(ctx context.Context, t Term) {
	renewal, wait := int64(0), renewInterval
	for recorder.Sleep(ctx, wait) {
		encodedAt := e.now()
		c := e.claimOf(t)
		renewal++
		c.Renewal = renewal
		err := t.writer.Append(ctx, []recorder.Item{{Key: Key, Value: c.Encode()}})
		if errors.Is(err, recorder.ErrDeposed) {
			return
		}
		if err == nil {
			t.renewedAt.Store(int64(encodedAt))
		}
		// A renewal that took longer than an interval is old by now; the next one comes sooner.
		wait = max(0, min(renewInterval, 2*renewInterval-(e.now()-encodedAt)))
	}
}

// resign marks the claim as resigned, so that another daemon can claim at once. It does
// nothing if this daemon was deposed.
func (e *Elector) resign(t Term) {
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval.Duration())
	defer cancel()
	c := e.claimOf(t)
	c.Resigned = true
	if err := t.writer.Append(ctx, []recorder.Item{{Key: Key, Value: c.Encode()}}); err != nil && !errors.Is(err, recorder.ErrDeposed) {
		e.emit(logger.OrderUnclear, logger.String("order", "resign"), logger.Err(err))
	}
}

// SetSighting sets the clock readings that the next renewals have.
func (t Term) SetSighting(s Sighting) { t.sighting.Store(&s) }

// LastRenewal returns a time no later than the one that this daemon's newest stored claim
// tells, on its own clock.
func (t Term) LastRenewal() clock.Millis { return clock.Millis(t.renewedAt.Load()) }
