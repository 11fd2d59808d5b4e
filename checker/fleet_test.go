package checker_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/checker"
	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/replicator"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const (
	tick = clock.Second / 10
)

type (
	// fleet simulates, in virtual time, five daemons in two data centres, each with
	// a claimer, replicator and keeper, and the workers and log of the platform.
	fleet struct {
		rng             *rand.Rand
		now             *clock.Manual
		log             *imitator.Log
		workers         map[string]*imitator.Worker
		hosts           map[string][]provider.Host
		nodes           []*node
		queue           []message
		checker         *checker.Checker
		reportedConfigs map[provider.Offset]bool
		keys            []string
		answered        map[string]bool
		lossPercent     int
		maxDelay        clock.Millis
		submitted       int
		defect          defect
	}

	// node is one daemon. It gets a new process when it restarts.
	node struct {
		*process
		name              string
		centre            string
		incarnation       int64
		clockRatePermille int64
		offset            clock.Millis
		dead              bool
		pausedUntil       clock.Millis
		cutFromLog        bool
		// configBlocked stops the daemon from reading the stream of configuration
		// changes, but no other stream.
		configBlocked bool
		// cutFromWorkers are the workers that the daemon can't reach; blockedSenders are
		// the daemons whose messages it doesn't receive.
		cutFromWorkers map[string]bool
		blockedSenders map[string]bool
	}

	// process is the state that a daemon loses when it dies. unread are the
	// process's appends that it has not read back, by record ID.
	process struct {
		claimer     *claimer.Claimer
		replicator  *replicator.Replicator
		register    *keeper.Register
		keeper      *keeper.Keeper
		reading     map[string]bool
		exchangedAt clock.Millis
		inbox       []func()
		unread      map[string]*unreadAppend
	}

	unreadAppend struct {
		append  keeper.Append
		triedAt clock.Millis
	}

	message struct {
		at clock.Millis
		do func()
	}

	// defect is a fault injected into the code under test, which the rules must
	// detect.
	defect int
)

// Defects.
const (
	defectNone defect = iota
	// defectExpiredAuthority lets a daemon act on a shard after its authority ended.
	defectExpiredAuthority
	// defectStaleConfig lets a daemon start work with an outdated configuration.
	defectStaleConfig
	// defectNoClearAt lets a daemon ignore that an earlier holder may still act.
	defectNoClearAt
)

func newFleet(seed uint64, b defect) *fleet {
	f := &fleet{
		rng:             rand.New(rand.NewPCG(seed, 1)),
		now:             clock.NewManual(clock.Hour),
		workers:         map[string]*imitator.Worker{},
		hosts:           map[string][]provider.Host{},
		checker:         checker.New(),
		reportedConfigs: map[provider.Offset]bool{},
		answered:        map[string]bool{},
		defect:          b,
	}
	f.log = imitator.NewLog(imitator.WithLogClock(f.now.Now), imitator.WithAppendsPerSecond(1_000_000))
	for _, centre := range []string{"south", "north"} {
		for n := range 2 {
			f.addWorker(centre, n)
		}
	}
	for n := range 5 {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("d%d", n), centre: []string{"south", "north"}[n%2], blockedSenders: map[string]bool{}, cutFromWorkers: map[string]bool{}})
	}
	for _, n := range f.nodes {
		f.boot(n)
	}
	f.checker.Add(checker.WorkDeclared(0, "watch/stock", "", false))
	return f
}

func (f *fleet) addWorker(centre string, n int) {
	name := fmt.Sprintf("%s-w%d", centre, n)
	size := sizer.New(3000, 3*sizer.GiB, 0)
	permille := f.rng.Int64N(2*provider.RateMarginPermille+1) - provider.RateMarginPermille
	w := imitator.NewWorker(size, func() clock.Millis { return f.now.Now() + f.now.Now()*clock.Millis(permille)/1000 }, imitator.AsDeclared)
	f.workers[name] = w
	f.hosts[centre] = append(f.hosts[centre], provider.Host{Name: name, Role: provider.RoleWorker, Address: name, DataCentre: centre, Capacity: sizer.DocumentOf(size)})
	f.checker.Add(checker.WorkerAdded(0, name, centre, size))
	w.Watch(func(e imitator.WorkerEvent) {
		at := f.now.Now()
		if local := w.Now(); local != e.At() {
			at = f.now.Now() * e.At() / local
		}
		if e.Phase() == provider.PhaseRunning {
			f.checker.Add(checker.RunStarted(at, name, e.Incarnation(), e.Size(), e.Checkpoint()))
			return
		}
		f.checker.Add(checker.RunEnded(at, name, e.Incarnation(), e.Phase(), e.Checkpoint()))
	})
}

func (f *fleet) boot(n *node) {
	n.incarnation++
	n.clockRatePermille = 1000 - provider.RateMarginPermille/2 + f.rng.Int64N(provider.RateMarginPermille+1)
	n.offset = clock.Millis(f.rng.Int64N(int64(clock.Day)))
	n.dead = false
	n.pausedUntil = 0
	shard := claimer.ShardName(n.centre, 0)
	c, err := claimer.New(n.name, n.incarnation, n.centre)
	if err != nil {
		panic(err)
	}
	r, err := replicator.New(c.Identity(), n.name, n.centre, f.localTime(n))
	if err != nil {
		panic(err)
	}
	c.SetShards(1)
	register := keeper.NewRegister()
	n.process = &process{
		claimer:    c,
		replicator: r,
		register:   register,
		keeper:     keeper.New(shard, n.centre, c.Identity(), register),
		reading:    map[string]bool{},
		unread:     map[string]*unreadAppend{},
	}
	n.keeper.SetHosts(f.hosts[n.centre])
}

func (f *fleet) localTime(n *node) clock.Millis {
	return n.offset + f.now.Now()*clock.Millis(n.clockRatePermille)/1000
}

func (f *fleet) running(n *node) bool { return !n.dead && n.pausedUntil <= f.now.Now() }

// send delivers a message to a process after a random delay. A paused process handles
// it when it continues; a process that died never does.
func (f *fleet) send(to *node, p *process, do func()) {
	f.enqueue(func() {
		if to.process == p && !to.dead {
			p.inbox = append(p.inbox, do)
		}
	})
}

func (f *fleet) enqueue(do func()) {
	delay := clock.Millis(1)
	if f.maxDelay > 0 && f.rng.IntN(4) == 0 {
		delay += clock.Millis(f.rng.Int64N(int64(f.maxDelay)))
	}
	f.queue = append(f.queue, message{at: f.now.Now() + delay, do: do})
}

func (f *fleet) run(d clock.Millis) {
	for end := f.now.Now() + d; f.now.Now() < end; {
		f.now.Advance(tick)
		slices.SortStableFunc(f.queue, func(a, b message) int { return cmp.Compare(a.at, b.at) })
		for len(f.queue) > 0 && f.queue[0].at <= f.now.Now() {
			next := f.queue[0]
			f.queue = f.queue[1:]
			next.do()
		}
		for _, n := range f.nodes {
			f.step(n)
		}
		for _, name := range slices.Sorted(maps.Keys(f.workers)) {
			f.workers[name].Running()
		}
	}
}

func (f *fleet) step(n *node) {
	if !f.running(n) {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		do()
	}
	now := f.localTime(n)
	f.setPeers(n)
	f.readAll(n)
	f.exchange(n, now)
	a := n.claimer.Step(now)
	f.append(n, provider.StreamOf(n.centre), a.Records(), n.claimer.Appended)
	for _, call := range a.PromiseCalls() {
		f.requestPromise(n, call)
	}
	f.append(n, provider.StreamConfig, n.replicator.Step(now), n.replicator.Appended)
	f.stepKeeper(n, now)
}

// setPeers sets the peers of a node's claimer and replicator to the other daemons.
func (f *fleet) setPeers(n *node) {
	var sameCentre []string
	var all []replicator.Peer
	for _, p := range f.nodes {
		if p == n {
			continue
		}
		live := f.running(p) && !n.blockedSenders[p.name]
		if live && p.centre == n.centre {
			sameCentre = append(sameCentre, p.claimer.Identity())
		}
		all = append(all, replicator.Peer{Process: p.claimer.Identity(), DataCentre: p.centre, Dead: !live && p.dead})
	}
	n.claimer.SetPeers(sameCentre)
	n.replicator.SetPeers(all)
}

// stepKeeper runs the keeper with the node's authority at now, sends its orders and
// retries its unread appends every half second.
func (f *fleet) stepKeeper(n *node, now clock.Millis) {
	n.keeper.SetConfig(n.replicator.State())
	a := keeper.NoAuthority()
	if n.claimer.Ledger().Holder(n.keeper.Shard()) == n.claimer.Identity() {
		held, _ := n.claimer.Authority(n.keeper.Shard(), now)
		until := held.Until()
		if f.defect == defectExpiredAuthority {
			until = now + clock.Minute
		}
		starts := n.replicator.StartAllowed(now) || f.defect == defectStaleConfig
		a = keeper.NewAuthority(held.Epoch(), until, starts)
		if f.defect != defectNoClearAt {
			a = a.WithEarlierExpiry(held.ClearAt())
		}
	}
	actions := n.keeper.Step(now, a)
	for _, o := range actions.Orders() {
		f.executeOrder(n, o)
	}
	for _, p := range actions.Appends() {
		n.unread[p.Record().GetId()] = &unreadAppend{append: p, triedAt: now - clock.Hour}
	}
	for _, id := range slices.Sorted(maps.Keys(n.unread)) {
		u := n.unread[id]
		if now-u.triedAt >= clock.Second/2 {
			u.triedAt = now
			f.append(n, u.append.Stream(), []*schema.Record{u.append.Record()}, func([]*schema.Record, error) {})
		}
	}
	f.recordOutcomes(n)
}

// executeOrder sends an order to its worker. The order or its answer may be lost.
func (f *fleet) executeOrder(n *node, o *keeper.Order) {
	p := n.process
	lost := n.cutFromWorkers[o.Worker()] || f.rng.IntN(100) < f.lossPercent/4
	f.enqueue(func() {
		if lost {
			return
		}
		r := o.Do(context.Background(), imitator.WorkersOf(func(a string) *imitator.Worker { return f.workers[a] }))
		if f.rng.IntN(100) >= f.lossPercent/4 {
			f.send(n, p, func() { p.keeper.ApplyResult(f.localTime(n), r) })
		}
	})
}

func (f *fleet) reachesLog(n *node) bool {
	if !n.cutFromLog {
		return true
	}
	return slices.ContainsFunc(f.nodes, func(p *node) bool {
		return p != n && f.running(p) && !p.cutFromLog && !n.blockedSenders[p.name] && !p.blockedSenders[n.name]
	})
}

func (f *fleet) append(n *node, stream string, records []*schema.Record, appended func([]*schema.Record, error)) {
	if len(records) == 0 {
		return
	}
	p := n.process
	if !f.reachesLog(n) {
		f.send(n, p, func() { appended(records, coder.New(coder.LogDown, "cut off")) })
		return
	}
	data, err := claimer.Encode(records)
	if err != nil {
		panic(err)
	}
	f.enqueue(func() {
		_, err := f.log.Provider().Append(context.Background(), stream, data)
		if f.rng.IntN(100) >= f.lossPercent {
			f.send(n, p, func() { appended(records, err) })
		}
	})
}

func (f *fleet) readAll(n *node) {
	p := n.process
	if !n.configBlocked {
		f.readConfig(n)
	}
	f.read(n, provider.StreamIntents, p.register.Next(), func(_ clock.Millis, page provider.Page) {
		for _, e := range page.Entries {
			r := decode(e.Data)
			delete(p.unread, r.GetId())
			p.keeper.ApplyIntent(p.register.Apply(e.Offset, r))
		}
	})
	f.read(n, provider.StreamOf(n.centre), p.claimer.Ledger().Next(), func(startedAt clock.Millis, page provider.Page) {
		for _, e := range page.Entries {
			f.applyEvent(n, e)
		}
		if p.claimer.Ledger().Next() >= page.Next {
			p.claimer.MarkCaughtUp(startedAt)
		}
	})
}

func (f *fleet) readConfig(n *node) {
	p := n.process
	f.read(n, provider.StreamConfig, p.replicator.Next(), func(startedAt clock.Millis, page provider.Page) {
		results, _ := p.replicator.ApplyPage(f.localTime(n), startedAt, page)
		f.recordDrains(results)
	})
}

func (f *fleet) read(n *node, stream string, from provider.Offset, apply func(clock.Millis, provider.Page)) {
	p := n.process
	if p.reading[stream] || !f.reachesLog(n) {
		return
	}
	p.reading[stream] = true
	startedAt := f.localTime(n)
	f.enqueue(func() {
		page, err := f.log.Provider().Read(context.Background(), stream, from, 1000)
		f.send(n, p, func() {
			p.reading[stream] = false
			if err == nil {
				apply(startedAt, page)
			}
		})
	})
}

func (f *fleet) applyEvent(n *node, e provider.Entry) {
	r := decode(e.Data)
	delete(n.unread, r.GetId())
	valid := n.claimer.Observe(f.localTime(n), e.Offset, r)
	if r.GetTask() != nil && valid {
		n.keeper.ApplyEvent(r)
	}
}

func (f *fleet) exchange(n *node, now clock.Millis) {
	p := n.process
	if now < p.exchangedAt+clock.Second {
		return
	}
	p.exchangedAt = now
	for _, q := range f.nodes {
		if q == n || q.blockedSenders[n.name] {
			continue
		}
		view, peer := p.replicator.View(now), q.process
		f.send(q, peer, func() {
			peer.replicator.ObservePeer(f.localTime(q), p.claimer.Identity(), n.centre, view)
			v, entries, state := peer.replicator.Respond(f.localTime(q), view)
			answer := &schema.ExchangeResponse{View: v, Entries: entries, State: state}
			if n.blockedSenders[q.name] {
				return
			}
			f.send(n, p, func() {
				results, err := p.replicator.HandleResponse(f.localTime(n), now, peer.claimer.Identity(), q.centre, answer)
				if err != nil {
					panic(err)
				}
				f.recordDrains(results)
			})
		})
	}
}

func (f *fleet) requestPromise(n *node, call claimer.PromiseCall) {
	p := n.process
	for _, q := range f.nodes {
		if q.name != call.Daemon() || q.blockedSenders[n.name] {
			continue
		}
		peer := q.process
		f.send(q, peer, func() {
			a := peer.claimer.Promise(f.localTime(q), call.Request())
			if !n.blockedSenders[q.name] {
				f.send(n, p, func() { p.claimer.HandlePromiseResponse(call, a.GetGranted()) })
			}
		})
	}
}

// recordDrains adds accepted drains to the trace when any daemon first reads them back.
func (f *fleet) recordDrains(results []replicator.Result) {
	for _, r := range results {
		if f.reportedConfigs[r.Offset()] || !r.Accepted() {
			continue
		}
		f.reportedConfigs[r.Offset()] = true
		for _, i := range r.Record().GetChange().GetItems() {
			if i.GetKind() != string(declarer.KindDrain) {
				continue
			}
			centre := i.GetName()[len(declarer.DrainOfDataCentre("")):]
			if i.GetDelete() {
				f.checker.Add(checker.DrainLifted(f.now.Now(), centre))
				continue
			}
			f.checker.Add(checker.DrainAccepted(f.now.Now(), centre))
		}
	}
}

// recordOutcomes adds to the trace the outcomes that the node would now return to
// callers. The first final outcome of each key is recorded.
func (f *fleet) recordOutcomes(n *node) {
	for _, key := range f.keys {
		o := n.keeper.Outcome(key)
		if !o.Known() || o.Code() == coder.Pending || o.Code() == coder.Unknown || f.answered[key] {
			continue
		}
		f.answered[key] = true
		f.checker.Add(checker.WorkEnded(f.now.Now(), key))
		if o.Code() != coder.OK {
			f.checker.Add(checker.WorkAnswered(f.now.Now(), key, !o.Ran()))
		}
	}
}

func decode(data []byte) *schema.Record {
	r := &schema.Record{}
	if err := proto.Unmarshal(data, r); err != nil {
		panic(err)
	}
	return r
}
