package replicator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

const (
	tick          = 100 * clock.Millis(1)
	exchangeEvery = clock.Second
)

type (
	// fleet runs the replicators of several daemons in virtual time, with a log and links
	// that fail.
	fleet struct {
		rng                *rand.Rand
		now                *clock.Manual
		log                *imitator.Log
		members            []*member
		opts               []Option
		queue              []message
		lostAnswersPercent int
		maxDelay           clock.Millis
		acceptedAt         map[provider.Offset]clock.Millis
		digests            map[provider.Offset]uint64
		violations         []string
		tamper             func(*member)
		appliedBy          map[string]int
	}

	// member is a daemon of the fleet. Its clock runs at rate permille of virtual time, from
	// offset on; messages from the daemons in cutFrom don't reach it.
	member struct {
		*Replicator
		name        string
		dataCentre  string
		incarnation int
		identity    string
		rate        int64
		offset      clock.Millis
		dead        bool
		diedAt      clock.Millis
		pausedUntil clock.Millis
		cutFromLog  bool
		cutFrom     map[string]bool
		reading     bool
		exchangedAt clock.Millis
		inbox       []func()
		results     []Result
		lastNext    provider.Offset
	}

	message struct {
		at     clock.Millis
		handle func()
	}
)

func newFleet(seed uint64, members, dataCentres int, opts ...Option) *fleet {
	f := &fleet{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		now:        clock.NewManual(clock.Hour),
		opts:       opts,
		acceptedAt: map[provider.Offset]clock.Millis{},
		digests:    map[provider.Offset]uint64{},
		appliedBy:  map[string]int{},
	}
	f.log = imitator.NewLog(imitator.WithLogClock(f.now.Now))
	for i := range members {
		m := &member{name: string(rune('p' + i)), dataCentre: string(rune('a' + i%dataCentres)), cutFrom: map[string]bool{}}
		f.members = append(f.members, m)
		f.boot(m)
	}
	return f
}

// boot starts or restarts a member as a new process with no state.
func (f *fleet) boot(m *member) {
	m.incarnation++
	m.identity = fmt.Sprintf("%s#%d", m.name, m.incarnation)
	m.rate = 990 + f.rng.Int64N(21)
	m.offset = clock.Millis(f.rng.Int64N(int64(clock.Day)))
	m.dead = false
	m.pausedUntil = 0
	m.reading = false
	m.inbox = nil
	m.results = nil
	m.exchangedAt = 0
	m.lastNext = 0
	r, err := New(m.process(), m.name, m.dataCentre, f.local(m), f.opts...)
	if err != nil {
		panic(err)
	}
	m.Replicator = r
}

func (m *member) process() string { return m.identity }

func (f *fleet) local(m *member) clock.Millis {
	return m.offset + f.now.Now()*clock.Millis(m.rate)/1000
}

func (f *fleet) running(m *member) bool { return !m.dead && m.pausedUntil <= f.now.Now() }

func (f *fleet) kill(m *member) {
	m.dead = true
	m.diedAt = f.now.Now()
}

// send delivers a message to a process after a random delay. If the process has died
// meanwhile, the message is lost; if it is paused, it handles the message when it resumes.
func (f *fleet) send(to *member, process *Replicator, do func()) {
	f.deliverLater(func() {
		if to.Replicator == process && !to.dead {
			to.inbox = append(to.inbox, do)
		}
	})
}

func (f *fleet) deliverLater(do func()) {
	delay := clock.Millis(1)
	if f.maxDelay > 0 && f.rng.IntN(4) == 0 {
		delay += clock.Millis(f.rng.Int64N(int64(f.maxDelay)))
	}
	f.queue = append(f.queue, message{at: f.now.Now() + delay, handle: do})
}

func (f *fleet) run(d clock.Millis, perTick func()) {
	for end := f.now.Now() + d; f.now.Now() < end; {
		f.now.Advance(tick)
		f.deliver()
		for _, m := range f.members {
			f.step(m)
		}
		f.checkInvariants()
		perTick()
	}
}

func (f *fleet) deliver() {
	slices.SortStableFunc(f.queue, func(a, b message) int { return cmp.Compare(a.at, b.at) })
	for len(f.queue) > 0 && f.queue[0].at <= f.now.Now() {
		next := f.queue[0]
		f.queue = f.queue[1:]
		next.handle()
	}
}

func (f *fleet) step(m *member) {
	if !f.running(m) {
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, do := range inbox {
		do()
	}
	if f.local(m) >= m.exchangedAt+exchangeEvery {
		m.SetPeers(f.peers(m))
	}
	if f.tamper != nil {
		f.tamper(m)
	}
	f.read(m)
	f.exchange(m)
	if records := m.Step(f.local(m)); len(records) > 0 {
		f.append(m, records)
	}
}

// peers returns the other processes as m sees them: a process that died is marked dead
// after DropAfter, and earlier incarnations of a daemon at once.
func (f *fleet) peers(m *member) []Peer {
	var peers []Peer
	for _, p := range f.members {
		if p == m {
			continue
		}
		dead := p.dead && f.now.Now() > p.diedAt+DropAfter
		peers = append(peers, Peer{Process: p.process(), DataCentre: p.dataCentre, Dead: dead})
		for n := 1; n < p.incarnation; n++ {
			peers = append(peers, Peer{Process: fmt.Sprintf("%s#%d", p.name, n), DataCentre: p.dataCentre, Dead: true})
		}
	}
	return peers
}

func (f *fleet) reachesLog(m *member) bool { return !m.cutFromLog }

func (f *fleet) append(m *member, records []*schema.Record) {
	process := m.Replicator
	if !f.reachesLog(m) {
		f.send(m, process, func() { process.Appended(records, coder.New(coder.LogDown, "cut off")) })
		return
	}
	var data [][]byte
	for _, r := range records {
		d, err := proto.Marshal(r)
		if err != nil {
			panic(err)
		}
		data = append(data, d)
	}
	f.deliverLater(func() {
		_, err := f.log.Provider().Append(context.Background(), provider.StreamConfig, data)
		if f.lostAnswersPercent > 0 && f.rng.IntN(100) < f.lostAnswersPercent {
			return
		}
		f.send(m, process, func() { process.Appended(records, err) })
	})
}

func (f *fleet) read(m *member) {
	if m.reading || !f.reachesLog(m) {
		return
	}
	m.reading = true
	startedAt := f.local(m)
	process := m.Replicator
	from := process.Next()
	f.deliverLater(func() {
		if m.Replicator == process && !f.reachesLog(m) {
			m.reading = false
			return
		}
		page, err := f.log.Provider().Read(context.Background(), provider.StreamConfig, from, 100)
		f.send(m, process, func() {
			m.reading = false
			if err == nil {
				results, _ := process.ApplyPage(f.local(m), startedAt, page)
				f.noteResults(m, results)
			}
		})
	})
}

func (f *fleet) exchange(m *member) {
	now := f.local(m)
	if now < m.exchangedAt+exchangeEvery {
		return
	}
	m.exchangedAt = now
	process := m.Replicator
	for _, p := range f.members {
		if p == m || p.cutFrom[m.name] {
			continue
		}
		view := process.View(now)
		peerReplicator := p.Replicator
		f.send(p, peerReplicator, func() {
			peerReplicator.ObservePeer(f.local(p), m.process(), m.dataCentre, view)
			v, entries, state := peerReplicator.Respond(f.local(p), view)
			if m.cutFrom[p.name] {
				return
			}
			name, answer := p.process(), &schema.ExchangeResponse{View: v, Entries: entries, State: state}
			f.send(m, process, func() {
				results, err := process.HandleResponse(f.local(m), now, name, p.dataCentre, answer)
				if err != nil {
					f.violations = append(f.violations, err.Error())
				}
				f.noteResults(m, results)
			})
		})
	}
}

// noteResults counts the members that applied each change, and stores when the first
// member applied it.
func (f *fleet) noteResults(m *member, results []Result) {
	for _, r := range results {
		m.results = append(m.results, r)
		if r.Accepted() {
			f.appliedBy[r.ID()]++
		}
		if _, known := f.acceptedAt[r.Offset()]; !known && r.Accepted() {
			f.acceptedAt[r.Offset()] = f.now.Now()
		}
	}
}

// propose has a member propose a change and returns the id of its record.
func (f *fleet) propose(m *member, c *schema.Change) (string, error) {
	r, err := m.Propose(f.local(m), c)
	if err != nil {
		return "", err
	}
	f.append(m, []*schema.Record{r})
	return r.GetId(), nil
}

// checkInvariants adds a violation if a configuration moved back to an older offset, two
// configurations differ at the same offset, or a member that lacks a change allows starts
// although the change was accepted longer ago than the bound.
func (f *fleet) checkInvariants() {
	// bound is the greatest staleness and a twentieth more, and a tick.
	const bound = DefaultMaxStaleness + DefaultMaxStaleness/20 + tick
	for _, m := range f.members {
		if m.dead {
			continue
		}
		next := m.replica.next()
		if next < m.lastNext {
			f.violations = append(f.violations, m.name+"'s configuration moved to an older offset")
		}
		m.lastNext = next
		if d, known := f.digests[next]; known && d != m.replica.digest {
			f.violations = append(f.violations, m.name+" has a different configuration at the same offset")
		}
		f.digests[next] = m.replica.digest
		if !m.StartAllowed(f.local(m)) {
			continue
		}
		for o, at := range f.acceptedAt {
			if o >= next && f.now.Now() > at+bound {
				f.violations = append(f.violations, fmt.Sprintf("%s may start work without the change at %d, accepted %d ms ago", m.name, o, f.now.Now()-at))
			}
		}
	}
}

func team(name string, expected int64) *schema.Change {
	return &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{
		Kind:            string(declarer.KindTeam),
		Name:            name,
		ExpectedVersion: expected,
		Document:        []byte(`{"name":"` + name + `","quota":{"processors":10,"memory":"10GiB"}}`),
	}}}
}
