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
	// fleet is daemons of two data centres, each with its claimer, replicator
	// and keeper, and the platform, in virtual time.
	fleet struct {
		rng     *rand.Rand
		now     *clock.Manual
		log     *imitator.Log
		workers map[string]*imitator.Worker
		hosts   map[string][]provider.Host
		nodes   []*node
		queue   []message
		checker *checker.Checker
		noted   map[provider.Offset]bool
		keys    []string
		told    map[string]bool
		lost    int
		maxWait clock.Millis
		ids     int
		broken  breach
	}

	// node is one daemon, replaced by a new process when it dies.
	node struct {
		*process
		name        string
		centre      string
		incarnation int64
		rate        int64
		offset      clock.Millis
		dead        bool
		pausedUntil clock.Millis
		cutFromLog  bool
		// lateConfig keeps it from reading changes, but not from the rest.
		lateConfig bool
		// cutFrom are workers, deaf daemons that are not heard.
		cutFrom map[string]bool
		deaf    map[string]bool
	}

	// process is what a daemon forgets when it dies.
	process struct {
		claimer     *claimer.Claimer
		replicator  *replicator.Replicator
		register    *keeper.Register
		keeper      *keeper.Keeper
		reading     map[string]bool
		exchangedAt clock.Millis
		inbox       []func()
		unseen      map[string]*unseen
	}

	unseen struct {
		append keeper.Append
		tried  clock.Millis
	}

	message struct {
		at clock.Millis
		do func()
	}

	// breach is a rule that is broken on purpose.
	breach int
)

// Breaches.
const (
	breachNone breach = iota
	// breachAuthority has a daemon go on without authority.
	breachAuthority
	// breachStart has a daemon start work whatever the age of its view.
	breachStart
	// breachClear has a daemon take it that no earlier holder goes on.
	breachClear
)

func newFleet(seed uint64, b breach) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     clock.NewManual(clock.Hour),
		workers: map[string]*imitator.Worker{},
		hosts:   map[string][]provider.Host{},
		checker: checker.New(),
		noted:   map[provider.Offset]bool{},
		told:    map[string]bool{},
		broken:  b,
	}
	f.log = imitator.NewLog(imitator.WithLogClock(f.now.Now), imitator.WithAppendsPerSecond(1_000_000))
	for _, centre := range []string{"south", "north"} {
		for n := range 2 {
			f.addWorker(centre, n)
		}
	}
	for n := range 5 {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("d%d", n), centre: []string{"south", "north"}[n%2], deaf: map[string]bool{}, cutFrom: map[string]bool{}})
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
	n.rate = 1000 - provider.RateMarginPermille/2 + f.rng.Int64N(provider.RateMarginPermille+1)
	n.offset = clock.Millis(f.rng.Int64N(int64(clock.Day)))
	n.dead = false
	n.pausedUntil = 0
	shard := claimer.ShardName(n.centre, 0)
	c, err := claimer.New(n.name, n.incarnation, n.centre)
	if err != nil {
		panic(err)
	}
	r, err := replicator.New(c.Identity(), n.name, n.centre, f.local(n))
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
		unseen:     map[string]*unseen{},
	}
	n.keeper.SetHosts(f.hosts[n.centre])
}

func (f *fleet) local(n *node) clock.Millis {
	return n.offset + f.now.Now()*clock.Millis(n.rate)/1000
}

func (f *fleet) running(n *node) bool { return !n.dead && n.pausedUntil <= f.now.Now() }

// send delivers to a process after a random wait; one that is paused gets it
// when it goes on.
func (f *fleet) send(to *node, p *process, do func()) {
	f.later(func() {
		if to.process == p && !to.dead {
			p.inbox = append(p.inbox, do)
		}
	})
}

func (f *fleet) later(do func()) {
	wait := clock.Millis(1)
	if f.maxWait > 0 && f.rng.IntN(4) == 0 {
		wait += clock.Millis(f.rng.Int64N(int64(f.maxWait)))
	}
	f.queue = append(f.queue, message{at: f.now.Now() + wait, do: do})
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
	now := f.local(n)
	f.know(n)
	f.readAll(n)
	f.exchange(n, now)
	a := n.claimer.Step(now)
	f.append(n, provider.StreamOf(n.centre), a.Records(), n.claimer.Appended)
	for _, ask := range a.Asks() {
		f.ask(n, ask)
	}
	f.append(n, provider.StreamConfig, n.replicator.Step(now), n.replicator.Appended)
	f.keep(n, now)
}

// know tells a process of the others.
func (f *fleet) know(n *node) {
	var same []string
	var all []replicator.Peer
	for _, p := range f.nodes {
		if p == n {
			continue
		}
		live := f.running(p) && !n.deaf[p.name]
		if live && p.centre == n.centre {
			same = append(same, p.claimer.Identity())
		}
		all = append(all, replicator.Peer{Process: p.claimer.Identity(), DataCentre: p.centre, Dead: !live && p.dead})
	}
	n.claimer.SetPeers(same)
	n.replicator.SetPeers(all)
}

// keep lets the keeper act under the authority of now.
func (f *fleet) keep(n *node, now clock.Millis) {
	n.keeper.SetConfig(n.replicator.State())
	a := keeper.NoAuthority()
	if n.claimer.Ledger().Holder(n.keeper.Shard()) == n.claimer.Identity() {
		held, _ := n.claimer.Authority(n.keeper.Shard(), now)
		until := held.Until()
		if f.broken == breachAuthority {
			until = now + clock.Minute
		}
		starts := n.replicator.StartAllowed(now) || f.broken == breachStart
		a = keeper.NewAuthority(held.Epoch(), until, starts)
		if f.broken != breachClear {
			a = a.ClearAt(held.ClearAt())
		}
	}
	actions := n.keeper.Step(now, a)
	for _, o := range actions.Orders() {
		f.carry(n, o)
	}
	for _, p := range actions.Appends() {
		n.unseen[p.Record().GetId()] = &unseen{append: p, tried: now - clock.Hour}
	}
	for _, id := range slices.Sorted(maps.Keys(n.unseen)) {
		u := n.unseen[id]
		if now-u.tried >= clock.Second/2 {
			u.tried = now
			f.append(n, u.append.Stream(), []*schema.Record{u.append.Record()}, func([]*schema.Record, error) {})
		}
	}
	f.observe(n)
}

// carry takes an order to its worker, or loses it or its answer.
func (f *fleet) carry(n *node, o *keeper.Order) {
	p := n.process
	lost := n.cutFrom[o.Worker()] || f.rng.IntN(100) < f.lost/4
	f.later(func() {
		if lost {
			return
		}
		r := o.Do(context.Background(), imitator.WorkersOf(func(a string) *imitator.Worker { return f.workers[a] }))
		if f.rng.IntN(100) >= f.lost/4 {
			f.send(n, p, func() { p.keeper.Done(f.local(n), r) })
		}
	})
}

func (f *fleet) reaches(n *node) bool {
	if !n.cutFromLog {
		return true
	}
	return slices.ContainsFunc(f.nodes, func(p *node) bool {
		return p != n && f.running(p) && !p.cutFromLog && !n.deaf[p.name] && !p.deaf[n.name]
	})
}

func (f *fleet) append(n *node, stream string, records []*schema.Record, appended func([]*schema.Record, error)) {
	if len(records) == 0 {
		return
	}
	p := n.process
	if !f.reaches(n) {
		f.send(n, p, func() { appended(records, coder.New(coder.LogDown, "cut off")) })
		return
	}
	data, err := claimer.Encode(records)
	if err != nil {
		panic(err)
	}
	f.later(func() {
		_, err := f.log.Provider().Append(context.Background(), stream, data)
		if f.rng.IntN(100) >= f.lost {
			f.send(n, p, func() { appended(records, err) })
		}
	})
}

func (f *fleet) readAll(n *node) {
	p := n.process
	if !n.lateConfig {
		f.readConfig(n)
	}
	f.read(n, provider.StreamIntents, p.register.Next(), func(_ clock.Millis, page provider.Page) {
		for _, e := range page.Entries {
			r := decode(e.Data)
			delete(p.unseen, r.GetId())
			p.keeper.ApplyIntent(p.register.Apply(e.Offset, r))
		}
	})
	f.read(n, provider.StreamOf(n.centre), p.claimer.Ledger().Next(), func(asked clock.Millis, page provider.Page) {
		for _, e := range page.Entries {
			f.event(n, e)
		}
		if p.claimer.Ledger().Next() >= page.Next {
			p.claimer.CaughtUp(asked)
		}
	})
}

func (f *fleet) readConfig(n *node) {
	p := n.process
	f.read(n, provider.StreamConfig, p.replicator.Next(), func(asked clock.Millis, page provider.Page) {
		results, _ := p.replicator.Read(f.local(n), asked, page)
		f.note(results)
	})
}

func (f *fleet) read(n *node, stream string, from provider.Offset, take func(clock.Millis, provider.Page)) {
	p := n.process
	if p.reading[stream] || !f.reaches(n) {
		return
	}
	p.reading[stream] = true
	asked := f.local(n)
	f.later(func() {
		page, err := f.log.Provider().Read(context.Background(), stream, from, 1000)
		f.send(n, p, func() {
			p.reading[stream] = false
			if err == nil {
				take(asked, page)
			}
		})
	})
}

func (f *fleet) event(n *node, e provider.Entry) {
	r := decode(e.Data)
	delete(n.unseen, r.GetId())
	counts := n.claimer.Observe(f.local(n), e.Offset, r)
	if r.GetTask() != nil && counts {
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
		if q == n || q.deaf[n.name] {
			continue
		}
		view, asked := p.replicator.View(now), q.process
		f.send(q, asked, func() {
			asked.replicator.Asked(f.local(q), p.claimer.Identity(), n.centre, view)
			v, entries, state := asked.replicator.Answer(f.local(q), view)
			answer := &schema.ExchangeResponse{View: v, Entries: entries, State: state}
			if n.deaf[q.name] {
				return
			}
			f.send(n, p, func() {
				results, err := p.replicator.Answered(f.local(n), now, asked.claimer.Identity(), q.centre, answer)
				if err != nil {
					panic(err)
				}
				f.note(results)
			})
		})
	}
}

func (f *fleet) ask(n *node, ask claimer.Ask) {
	p := n.process
	for _, q := range f.nodes {
		if q.name != ask.Daemon() || q.deaf[n.name] {
			continue
		}
		asked := q.process
		f.send(q, asked, func() {
			a := asked.claimer.Promise(f.local(q), ask.Request())
			if !n.deaf[q.name] {
				f.send(n, p, func() { p.claimer.Promised(ask, a.GetGranted()) })
			}
		})
	}
}

// note tells the checker of drains as they are first read back.
func (f *fleet) note(results []replicator.Result) {
	for _, r := range results {
		if f.noted[r.Offset()] || !r.Accepted() {
			continue
		}
		f.noted[r.Offset()] = true
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

// observe takes what a node would tell callers now.
func (f *fleet) observe(n *node) {
	for _, key := range f.keys {
		o := n.keeper.Outcome(key)
		if !o.Known() || o.Code() == coder.Pending || o.Code() == coder.Unknown || f.told[key] {
			continue
		}
		f.told[key] = true
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
