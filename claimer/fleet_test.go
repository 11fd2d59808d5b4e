package claimer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

const (
	tick   = 100 * clock.Millis(1)
	stream = "dc/a"
)

type (
	// fleet simulates the claimers of several daemons in virtual time, with a log and
	// connections that can fail.
	fleet struct {
		rng           *rand.Rand
		now           *clock.Manual
		log           *imitator.Log
		members       []*member
		shards        int
		queue         []message
		lossPercent   int
		maxDelay      clock.Millis
		claimAttempts []*claimAttempt
		tamper        func(*member)
	}

	// member is one daemon. blockedSenders are the members whose messages it doesn't receive.
	member struct {
		*Claimer
		name              string
		incarnation       int64
		clockRatePermille int64
		offset            clock.Millis
		dead              bool
		pausedUntil       clock.Millis
		cutFromLog        bool
		blockedSenders    map[string]bool
		reading           bool
		inbox             []func()
	}

	message struct {
		at clock.Millis
		do func()
	}

	// claimAttempt is one claim, from when it was sent until it was read back.
	claimAttempt struct {
		recordID   string
		client     int
		claim      *schema.Claim
		calledAt   clock.Millis
		returnedAt clock.Millis
		valid      bool
		offset     provider.Offset
	}
)

func newFleet(seed uint64, members, shards int, opts ...Option) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: clock.NewManual(clock.Hour), shards: shards}
	f.log = imitator.NewLog(imitator.WithLogClock(f.now.Now))
	for i := range members {
		f.members = append(f.members, &member{name: string(rune('p' + i)), blockedSenders: map[string]bool{}})
		f.boot(f.members[i], opts...)
	}
	return f
}

// boot replaces a member's process by a new one without any state.
func (f *fleet) boot(m *member, opts ...Option) {
	m.incarnation++
	m.clockRatePermille = 990 + f.rng.Int64N(21)
	m.offset = clock.Millis(f.rng.Int64N(int64(clock.Day)))
	m.dead = false
	m.pausedUntil = 0
	m.reading = false
	m.inbox = nil
	c, err := New(m.name, m.incarnation, "a", opts...)
	if err != nil {
		panic(err)
	}
	c.SetShards(f.shards)
	m.Claimer = c
}

func (m *member) localTime(now clock.Millis) clock.Millis {
	return m.offset + now*clock.Millis(m.clockRatePermille)/1000
}

func (f *fleet) localTime(m *member) clock.Millis { return m.localTime(f.now.Now()) }

func (f *fleet) running(m *member) bool { return !m.dead && m.pausedUntil <= f.now.Now() }

// send delivers a message to a process after a random delay. A paused process handles it
// when it continues; a process that died never does.
func (f *fleet) send(to *member, do func()) {
	process := to.Claimer
	f.enqueue(func() {
		if to.Claimer == process && !to.dead {
			to.inbox = append(to.inbox, do)
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

func (f *fleet) run(d clock.Millis, afterTick func()) {
	for end := f.now.Now() + d; f.now.Now() < end; {
		f.now.Advance(tick)
		f.deliver()
		for _, m := range f.members {
			f.step(m)
		}
		afterTick()
	}
}

func (f *fleet) deliver() {
	slices.SortStableFunc(f.queue, func(a, b message) int { return cmp.Compare(a.at, b.at) })
	for len(f.queue) > 0 && f.queue[0].at <= f.now.Now() {
		next := f.queue[0]
		f.queue = f.queue[1:]
		next.do()
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
	m.SetPeers(f.livePeers(m))
	if f.tamper != nil {
		f.tamper(m)
	}
	f.read(m)
	a := m.Step(f.localTime(m))
	if len(a.Records()) > 0 {
		f.append(m, a.Records())
	}
	for _, call := range a.PromiseCalls() {
		f.requestPromise(m, call)
	}
}

// livePeers returns the identities of the peers that appear live to m.
func (f *fleet) livePeers(m *member) []string {
	var peers []string
	for _, p := range f.members {
		if p != m && f.running(p) && !m.blockedSenders[p.name] {
			peers = append(peers, p.Identity())
		}
	}
	return peers
}

// reachesLog reports whether m can reach the log, directly or through a peer.
func (f *fleet) reachesLog(m *member) bool {
	if !m.cutFromLog {
		return true
	}
	for _, p := range f.members {
		if p != m && f.running(p) && !p.cutFromLog && !m.blockedSenders[p.name] && !p.blockedSenders[m.name] {
			return true
		}
	}
	return false
}

func (f *fleet) append(m *member, records []*schema.Record) {
	if !f.reachesLog(m) {
		f.send(m, func() { m.Appended(records, coder.New(coder.LogDown, "cut off")) })
		return
	}
	data, err := Encode(records)
	if err != nil {
		panic(err)
	}
	f.recordAttempts(m, records)
	process := m.Claimer
	f.enqueue(func() {
		_, err := f.log.Provider().Append(context.Background(), stream, data)
		if m.Claimer != process || f.lossPercent > 0 && f.rng.IntN(100) < f.lossPercent {
			return
		}
		f.send(m, func() { m.Appended(records, err) })
	})
}

func (f *fleet) recordAttempts(m *member, records []*schema.Record) {
	for _, r := range records {
		if c := r.GetClaim(); c != nil {
			f.claimAttempts = append(f.claimAttempts, &claimAttempt{recordID: r.GetId(), client: slices.Index(f.members, m), claim: c, calledAt: f.now.Now()})
		}
	}
}

func (f *fleet) read(m *member) {
	if m.reading || !f.reachesLog(m) {
		return
	}
	m.reading = true
	startedAt := f.localTime(m)
	process := m.Claimer
	f.enqueue(func() {
		if m.Claimer != process {
			return
		}
		page, err := f.log.Provider().Read(context.Background(), stream, process.Ledger().Next(), 100)
		f.send(m, func() {
			m.reading = false
			if err == nil {
				f.applyPage(m, page, startedAt)
			}
		})
	})
}

func (f *fleet) applyPage(m *member, page provider.Page, startedAt clock.Millis) {
	for _, e := range page.Entries {
		r := &schema.Record{}
		if err := proto.Unmarshal(e.Data, r); err != nil {
			panic(err)
		}
		if e.Offset < m.Ledger().Next() {
			continue
		}
		valid := m.Observe(f.localTime(m), e.Offset, r)
		f.recordResult(r, e.Offset, valid)
	}
	if m.Ledger().Next() >= page.Next {
		m.MarkCaughtUp(startedAt)
	}
}

func (f *fleet) recordResult(r *schema.Record, o provider.Offset, valid bool) {
	for _, a := range f.claimAttempts {
		if a.recordID == r.GetId() && a.returnedAt == 0 {
			a.returnedAt = f.now.Now()
			a.valid = valid
			a.offset = o
		}
	}
}

func (f *fleet) requestPromise(m *member, call PromiseCall) {
	process := m.Claimer
	for _, p := range f.members {
		if p.name != call.Daemon() || p.blockedSenders[m.name] {
			continue
		}
		f.send(p, func() {
			answer := p.Promise(f.localTime(p), call.Request())
			if m.Claimer == process && !m.blockedSenders[p.name] {
				f.send(m, func() { m.HandlePromiseResponse(call, answer.GetGranted()) })
			}
		})
	}
}

// conflicts returns the names of the shards over which two processes have authority in the
// same epoch, or in different epochs although the ClearAt of the later one has passed.
func (f *fleet) conflicts() []string {
	var found []string
	for n := range f.shards {
		name := ShardName("a", n)
		for _, m := range f.members {
			a, held := m.Authority(name, f.localTime(m))
			if m.dead || !held {
				continue
			}
			for _, p := range f.members {
				b, alsoHeld := p.Authority(name, f.localTime(p))
				if p == m || p.dead || !alsoHeld {
					continue
				}
				if a.Epoch() == b.Epoch() || a.Epoch() > b.Epoch() && a.ClearAt() <= f.localTime(m) {
					found = append(found, name)
				}
			}
		}
	}
	return found
}

// ownedShards returns the number of shards that some live process has authority over.
func (f *fleet) ownedShards() int {
	count := 0
	for n := range f.shards {
		for _, m := range f.members {
			if _, held := m.Authority(ShardName("a", n), f.localTime(m)); held && !m.dead {
				count++
				break
			}
		}
	}
	return count
}
