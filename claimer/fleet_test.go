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
	// fleet is several daemons' claimers in virtual time, with a log and links
	// that fail.
	fleet struct {
		rng     *rand.Rand
		now     *clock.Manual
		log     *imitator.Log
		members []*member
		shards  int
		queue   []message
		lost    int
		maxWait clock.Millis
		history []*attempt
		tamper  func(*member)
	}

	member struct {
		*Claimer
		name        string
		incarnation int64
		rate        int64
		offset      clock.Millis
		dead        bool
		pausedUntil clock.Millis
		cutFromLog  bool
		deaf        map[string]bool
		reading     bool
		inbox       []func()
	}

	message struct {
		at clock.Millis
		do func()
	}

	// attempt is one claim, from when it was sent to when it was read back.
	attempt struct {
		holder   string
		client   int
		claim    *schema.Claim
		call     clock.Millis
		returned clock.Millis
		counted  bool
		offset   provider.Offset
	}
)

func newFleet(seed uint64, members, shards int, opts ...Option) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: clock.NewManual(clock.Hour), shards: shards}
	f.log = imitator.NewLog(imitator.WithLogClock(f.now.Now))
	for i := range members {
		f.members = append(f.members, &member{name: string(rune('p' + i)), deaf: map[string]bool{}})
		f.boot(f.members[i], opts...)
	}
	return f
}

// boot makes a member a new process that knows nothing.
func (f *fleet) boot(m *member, opts ...Option) {
	m.incarnation++
	m.rate = 990 + f.rng.Int64N(21)
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

func (m *member) clock(now clock.Millis) clock.Millis {
	return m.offset + now*clock.Millis(m.rate)/1000
}

func (f *fleet) local(m *member) clock.Millis { return m.clock(f.now.Now()) }

func (f *fleet) running(m *member) bool { return !m.dead && m.pausedUntil <= f.now.Now() }

// send delivers after a random wait; a process that died meanwhile gets nothing,
// one that is paused gets it when it goes on.
func (f *fleet) send(to *member, do func()) {
	process := to.Claimer
	f.later(func() {
		if to.Claimer == process && !to.dead {
			to.inbox = append(to.inbox, do)
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

func (f *fleet) run(d clock.Millis, each func()) {
	for end := f.now.Now() + d; f.now.Now() < end; {
		f.now.Advance(tick)
		f.deliver()
		for _, m := range f.members {
			f.step(m)
		}
		each()
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
	m.SetPeers(f.seen(m))
	if f.tamper != nil {
		f.tamper(m)
	}
	f.read(m)
	a := m.Step(f.local(m))
	if len(a.Records()) > 0 {
		f.append(m, a.Records())
	}
	for _, ask := range a.Asks() {
		f.ask(m, ask)
	}
}

// seen gives the peers that m takes for live.
func (f *fleet) seen(m *member) []string {
	var peers []string
	for _, p := range f.members {
		if p != m && f.running(p) && !m.deaf[p.name] {
			peers = append(peers, p.Identity())
		}
	}
	return peers
}

// reaches tells whether m reaches the log, by itself or through a peer.
func (f *fleet) reaches(m *member) bool {
	if !m.cutFromLog {
		return true
	}
	for _, p := range f.members {
		if p != m && f.running(p) && !p.cutFromLog && !m.deaf[p.name] && !p.deaf[m.name] {
			return true
		}
	}
	return false
}

func (f *fleet) append(m *member, records []*schema.Record) {
	if !f.reaches(m) {
		f.send(m, func() { m.Appended(records, coder.New(coder.LogDown, "cut off")) })
		return
	}
	data, err := Encode(records)
	if err != nil {
		panic(err)
	}
	f.attempts(m, records)
	process := m.Claimer
	f.later(func() {
		_, err := f.log.Provider().Append(context.Background(), stream, data)
		if m.Claimer != process || f.lost > 0 && f.rng.IntN(100) < f.lost {
			return
		}
		f.send(m, func() { m.Appended(records, err) })
	})
}

func (f *fleet) attempts(m *member, records []*schema.Record) {
	for _, r := range records {
		if c := r.GetClaim(); c != nil {
			f.history = append(f.history, &attempt{holder: r.GetId(), client: slices.Index(f.members, m), claim: c, call: f.now.Now()})
		}
	}
}

func (f *fleet) read(m *member) {
	if m.reading || !f.reaches(m) {
		return
	}
	m.reading = true
	began := f.local(m)
	process := m.Claimer
	f.later(func() {
		if m.Claimer != process {
			return
		}
		page, err := f.log.Provider().Read(context.Background(), stream, process.Ledger().Next(), 100)
		f.send(m, func() {
			m.reading = false
			if err == nil {
				f.take(m, page, began)
			}
		})
	})
}

func (f *fleet) take(m *member, page provider.Page, began clock.Millis) {
	for _, e := range page.Entries {
		r := &schema.Record{}
		if err := proto.Unmarshal(e.Data, r); err != nil {
			panic(err)
		}
		if e.Offset < m.Ledger().Next() {
			continue
		}
		counted := m.Observe(f.local(m), e.Offset, r)
		f.settle(r, e.Offset, counted)
	}
	if m.Ledger().Next() >= page.Next {
		m.CaughtUp(began)
	}
}

func (f *fleet) settle(r *schema.Record, o provider.Offset, counted bool) {
	for _, a := range f.history {
		if a.holder == r.GetId() && a.returned == 0 {
			a.returned = f.now.Now()
			a.counted = counted
			a.offset = o
		}
	}
}

func (f *fleet) ask(m *member, ask Ask) {
	process := m.Claimer
	for _, p := range f.members {
		if p.name != ask.Daemon() || p.deaf[m.name] {
			continue
		}
		f.send(p, func() {
			answer := p.Promise(f.local(p), ask.Request())
			if m.Claimer == process && !m.deaf[p.name] {
				f.send(m, func() { m.Promised(ask, answer.GetGranted()) })
			}
		})
	}
}

// conflicts gives the shards over which two processes have authority although
// the later one takes earlier holders to be gone.
func (f *fleet) conflicts() []string {
	var found []string
	for n := range f.shards {
		name := ShardName("a", n)
		for _, m := range f.members {
			a, held := m.Authority(name, f.local(m))
			if m.dead || !held {
				continue
			}
			for _, p := range f.members {
				b, also := p.Authority(name, f.local(p))
				if p == m || p.dead || !also {
					continue
				}
				if a.Epoch() == b.Epoch() || a.Epoch() > b.Epoch() && a.ClearAt() <= f.local(m) {
					found = append(found, name)
				}
			}
		}
	}
	return found
}

// owned gives how many shards some process has authority over.
func (f *fleet) owned() int {
	owned := 0
	for n := range f.shards {
		for _, m := range f.members {
			if _, held := m.Authority(ShardName("a", n), f.local(m)); held && !m.dead {
				owned++
				break
			}
		}
	}
	return owned
}
