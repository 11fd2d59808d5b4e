package elector

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/recorder"
)

type (
	// Term is the time in which this daemon leads.
	Term struct {
		Epoch int64
		// FormerIsOver is whether the former leader surely sends nothing more.
		FormerIsOver bool
		writer       *recorder.Writer
	}

	// Elector takes part in the election until Close.
	Elector struct {
		mu    sync.Mutex
		watch *Watch
		// leader is the newest claim that was read or made.
		leader Claim

		store   recorder.Store
		now     func() clock.Millis
		emit    func(logger.Event, ...logger.Field)
		host    string
		address string
		life    string
		lead    func(context.Context, Term)
		// depose ends the term of this daemon; nil while it does not lead.
		depose context.CancelFunc
		// delay is how long this host waits before a claim that is due.
		delay clock.Millis

		cancel context.CancelFunc
		group  sync.WaitGroup
		stop   context.Context
	}

	// Option sets up an Elector.
	Option func(*Elector)
)

const (
	topic = "leader"
	// leastCores bounds the wait of the weakest hosts to 0.8 s.
	leastCores = 0.05
	// renewEvery is the time between renewals.
	renewEvery = 500 * clock.Millis(1)
	// patience is how long a claim may go without a renewal: three of them, one of
	// which a slow store takes for its answer.
	patience = 1500 * clock.Millis(1)
	// contention spreads the claims of several daemons.
	contention = 60
	// wholeCore is how long a host with one core waits before it claims; one with
	// less waits longer in proportion, so that the strongest host leads.
	wholeCore = 40 * clock.Millis(1)
	// firstWait is added while there is no claim at all: daemons start within 300 ms.
	firstWait = 400 * clock.Millis(1)
	// checkEvery is how often the watch is asked whether a claim is due.
	checkEvery = 100 * clock.Millis(1)
	// readWait is how long the store holds a read without news.
	readWait = 1000 * clock.Millis(1)
)

// WithEvents sets where decisions are logged.
func WithEvents(emit func(logger.Event, ...logger.Field)) Option {
	return func(e *Elector) { e.emit = emit }
}

// WithClock sets the steady clock, which goes on while the host is suspended.
func WithClock(now func() clock.Millis) Option { return func(e *Elector) { e.now = now } }

// WithCores sets the processor share of the host, in cores; stronger hosts claim
// first.
func WithCores(c float64) Option {
	return func(e *Elector) { e.delay = clock.Millis(float64(wholeCore) / max(c, leastCores)) }
}

// New takes part in the election for a host. lead is called each time this daemon is
// elected; its context ends when another daemon leads, and the term is over when it
// returns. life tells this process from earlier ones of the host.
func New(s recorder.Store, host, address, life string, lead func(context.Context, Term), opts ...Option) *Elector {
	e := &Elector{
		watch: NewWatch(host, life, patience), store: s, now: clock.System,
		emit: func(logger.Event, ...logger.Field) {}, host: host, address: address, life: life, lead: lead,
	}
	for _, o := range opts {
		o(e)
	}
	e.stop, e.cancel = context.WithCancel(context.Background())
	f := recorder.Follow(s, topic, recorder.PollTiming{Wait: readWait}, recorder.Callbacks{
		Reset:  func(m map[string][]byte) { e.observe(m[Key]) },
		Change: func(items []recorder.Item) { e.observe(items[len(items)-1].Value) },
		Read:   func(clock.Millis) { e.mu.Lock(); e.watch.Read(e.now()); e.mu.Unlock() },
		Failed: func(error) { e.mu.Lock(); e.watch.Failed(); e.mu.Unlock() },
	})
	e.group.Add(1)
	go func() {
		defer e.group.Done()
		defer f.Close()
		for recorder.Sleep(e.stop, checkEvery) {
			e.check()
		}
	}()
	return e
}

// Leader returns the address of the leader and whether it is this daemon. The
// address is empty while none is known.
func (e *Elector) Leader() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Resigned {
		return "", false
	}
	return e.leader.Address, e.leader.Life == e.life
}

// Hint takes in a leader that a peer has named, if it is newer than the known one.
func (e *Elector) Hint(c Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopt(c)
}

// Newest returns the newest known claim.
func (e *Elector) Newest() Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Close ends a term and the part in the election.
func (e *Elector) Close() {
	e.cancel()
	e.group.Wait()
}

func (e *Elector) observe(value []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var c Claim
	if len(value) > 0 {
		var err error
		if c, err = Decode(value); err != nil {
			e.emit(logger.RecordInvalid, logger.Err(err))
		}
	}
	e.watch.Observe(c, e.now())
	e.adopt(c)
}

func (e *Elector) adopt(c Claim) {
	if c.Epoch < e.leader.Epoch {
		return
	}
	if c.Epoch > e.leader.Epoch && c.Life != e.life {
		e.emit(logger.LeaderChanged, logger.Int("epoch", c.Epoch), logger.String("leader", c.Host))
	}
	if e.depose != nil && c.Epoch > e.leader.Epoch && c.Life != e.life {
		e.depose()
	}
	e.leader = c
}

// check claims if that is due, and leads if the claim succeeds.
func (e *Elector) check() {
	e.mu.Lock()
	due := e.watch.Due(e.now())
	wait := e.delay + clock.Millis(rand.Int64N(contention))
	if e.watch.First() {
		wait += firstWait
	}
	e.mu.Unlock()
	if !due || !recorder.Sleep(e.stop, wait) {
		return
	}
	t, ok := e.claim()
	if !ok {
		return
	}
	e.emit(logger.LeaderElected, logger.Int("epoch", t.Epoch))
	ctx, cancel := context.WithCancel(e.stop)
	e.setDepose(cancel)
	renewals := make(chan struct{})
	go func() {
		defer close(renewals)
		defer cancel()
		e.renew(ctx, t)
	}()
	e.lead(ctx, t)
	e.setDepose(nil)
	cancel()
	<-renewals
	e.emit(logger.LeaderDeposed, logger.Int("epoch", t.Epoch))
	e.mu.Lock()
	if e.leader.Life == e.life {
		e.leader.Resigned = true
	}
	e.mu.Unlock()
	e.resign(t)
}

func (e *Elector) setDepose(f context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.depose = f
}

// claim appends a claim on the condition that the newest one is still that.
func (e *Elector) claim() (Term, bool) {
	ctx, cancel := context.WithTimeout(e.stop, (4 * renewEvery).Duration())
	defer cancel()
	items, end, err := recorder.Load(ctx, e.store, topic)
	if err != nil {
		e.emit(logger.ClaimFailed, logger.Err(err))
		return Term{}, false
	}
	var old Claim
	if v := items[Key]; len(v) > 0 {
		if old, err = Decode(v); err != nil {
			e.emit(logger.RecordInvalid, logger.Err(err))
		}
	}
	e.mu.Lock()
	e.watch.Observe(old, e.now())
	due, over := e.watch.Due(e.now()), e.watch.FormerIsOver()
	e.mu.Unlock()
	if !due {
		return Term{}, false
	}
	c := Claim{Epoch: old.Epoch + 1, Host: e.host, Address: e.address, Life: e.life}
	w := recorder.NewWriter(e.store, topic, end, e.owned, recorder.WithClock(e.now))
	if err := w.Append(ctx, []recorder.Item{{Key: Key, Value: c.Encode()}}); err != nil {
		if !errors.Is(err, recorder.ErrDeposed) {
			// Another daemon that was faster is logged when its claim is read.
			e.emit(logger.ClaimFailed, logger.Err(err))
		}
		return Term{}, false
	}
	e.mu.Lock()
	e.leader = c
	e.mu.Unlock()
	return Term{Epoch: c.Epoch, FormerIsOver: over, writer: w}, true
}

func (e *Elector) owned(i recorder.Item) bool {
	c, err := Decode(i.Value)
	return err == nil && c.Life == e.life
}

// renew renews the claim until the context ends or another daemon claims.
func (e *Elector) renew(ctx context.Context, t Term) {
	c := Claim{Epoch: t.Epoch, Host: e.host, Address: e.address, Life: e.life}
	for recorder.Sleep(ctx, renewEvery) {
		c.Renewal++
		if err := t.writer.Append(ctx, []recorder.Item{{Key: Key, Value: c.Encode()}}); errors.Is(err, recorder.ErrDeposed) {
			return
		}
	}
}

// resign lets another daemon claim at once, if this one was not deposed.
func (e *Elector) resign(t Term) {
	ctx, cancel := context.WithTimeout(context.Background(), renewEvery.Duration())
	defer cancel()
	c := Claim{Epoch: t.Epoch, Host: e.host, Address: e.address, Life: e.life, Resigned: true}
	if err := t.writer.Append(ctx, []recorder.Item{{Key: Key, Value: c.Encode()}}); err != nil && !errors.Is(err, recorder.ErrDeposed) {
		e.emit(logger.OrderUnclear, logger.String("order", "resign"), logger.Err(err))
	}
}

// Confirmed returns when the claim was last renewed.
func (t Term) Confirmed() clock.Millis { return t.writer.LastSuccess() }
