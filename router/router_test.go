package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

func targetsOf(n, share int) []*Target {
	targets := make([]*Target, n)
	for i := range targets {
		targets[i] = NewTarget(provider.Host{Address: fmt.Sprint(i), Slots: 8, Connections: 64}, share)
	}
	return targets
}

// naiveRoom gives the targets that an attempt may go to, by looking at each.
func naiveRoom(targets, tried []*Target) []*Target {
	var room []*Target
	for _, t := range targets {
		if t.hasRoom() && !slices.Contains(tried, t) {
			room = append(room, t)
		}
	}
	return room
}

// overrun tells whether more attempts are in flight than a target's share.
func overrun(t *Target, inFlight int) bool { return inFlight > t.Share() }

// Whatever happens, Pick gives a target that a naive look finds to have room,
// and gives nil only where there is none.
func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		near := targetsOf(rapid.IntRange(0, 70).Draw(r, "near"), 1)
		far := targetsOf(rapid.IntRange(0, 70).Draw(r, "far"), 2)
		all := slices.Concat(near, far)
		if len(all) == 0 {
			must.Nil(t, NewPool(near, far).Pick(1, 10, nil))
			return
		}
		p := NewPool(near, far)
		var held []*Target
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			m := rapid.SampledFrom(all).Draw(r, "target")
			switch rapid.IntRange(0, 8).Draw(r, "action") {
			case 0:
				m.SetMode(Mode(rapid.IntRange(0, 2).Draw(r, "mode")))
			case 1:
				m.SetShare(max(rapid.IntRange(0, 3).Draw(r, "share"), m.InFlight()))
			case 2:
				m.Answered(clock.Millis(rapid.IntRange(1, 500).Draw(r, "latency")), rapid.IntRange(0, 3).Draw(r, "waiting"))
			case 3:
				m.Failed(rapid.IntRange(1, 3).Draw(r, "failures"))
			case 4:
				m.SetLeaving(1)
			case 5:
				m.Return()
			case 6:
				if len(held) > 0 {
					held[len(held)-1].Release()
					held = held[:len(held)-1]
				}
			default:
				tried := all[:min(rapid.IntRange(0, 3).Draw(r, "tried"), len(all))]
				room := naiveRoom(all, tried)
				got := p.Pick(rapid.Uint64().Draw(r, "r"), 10, tried)
				must.Eq(t, len(room) == 0, got == nil)
				if got != nil {
					must.True(t, slices.Contains(room, got))
					held = append(held, got)
				}
			}
			for _, x := range all {
				must.False(t, overrun(x, x.InFlight()))
			}
		}
	})
}

// The check for the share finds a rule that takes no notice of it.
func TestOverrunIsFound(t *testing.T) {
	m := targetsOf(1, 2)[0]
	for range 3 {
		m.inFlight.Add(1)
	}
	must.True(t, overrun(m, m.InFlight()))
}

// Under many threads no target is overrun, and no room is lost.
func TestPickConcurrently(t *testing.T) {
	targets := targetsOf(100, 2)
	p := NewPool(targets[:30], targets[30:])
	var w sync.WaitGroup
	for n := range uint64(8) {
		w.Go(func() {
			r := rand.New(rand.NewPCG(1, n))
			var held []*Target
			for range 5000 {
				if m := p.Pick(r.Uint64(), 10, nil); m != nil {
					must.False(t, overrun(m, m.InFlight()))
					held = append(held, m)
				}
				if len(held) > 20 || len(held) > 0 && r.IntN(2) == 0 {
					held[0].Release()
					held = held[1:]
				}
			}
			for _, m := range held {
				m.Release()
			}
		})
	}
	w.Wait()
	for range p.Share() {
		must.NotNil(t, p.Pick(rand.Uint64(), 10, nil))
	}
	must.Nil(t, p.Pick(1, 10, nil))
}

// A new pool over the same targets knows of room that was made meanwhile.
func TestNewPoolKeepsRoom(t *testing.T) {
	targets := targetsOf(1, 1)
	old := NewPool(targets)
	m := old.Pick(1, 10, nil)
	p := NewPool(targets)
	p.Refresh()
	must.Nil(t, p.Pick(1, 10, nil))
	m.Release()
	must.Eq(t, m, p.Pick(1, 10, nil))
}

func TestNearestFirst(t *testing.T) {
	tests := map[string]struct {
		prepare func(near, far *Target)
		near    bool
	}{
		"both idle":                {prepare: func(*Target, *Target) {}, near: true},
		"near full":                {prepare: func(n, _ *Target) { n.Acquire() }},
		"near has waiting":         {prepare: func(n, _ *Target) { n.Answered(10, 9) }},
		"near is slow":             {prepare: func(n, _ *Target) { n.Answered(100, 0) }},
		"near is a little slower":  {prepare: func(n, _ *Target) { n.Answered(12, 0) }, near: true},
		"both slow":                {prepare: func(n, f *Target) { n.Answered(100, 0); f.Forget(); f.Answered(100, 0) }, near: true},
		"near closed":              {prepare: func(n, _ *Target) { n.SetMode(Closed) }},
		"near leaving":             {prepare: func(n, _ *Target) { n.SetLeaving(1) }},
		"near came back":           {prepare: func(n, _ *Target) { n.SetLeaving(1); n.Return() }, near: true},
		"near probing, then taken": {prepare: func(n, _ *Target) { n.SetMode(Probing); n.SetShare(3); n.Acquire() }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			targets := targetsOf(2, 1)
			near, far := targets[0], targets[1]
			far.Answered(10, 0)
			p := NewPool([]*Target{near}, []*Target{far})
			tc.prepare(near, far)
			must.Eq(t, tc.near, p.Pick(7, 10, nil) == near)
		})
	}
}

// Of targets that are alike each gets its part.
func TestPickIsEven(t *testing.T) {
	targets := targetsOf(100, 1)
	p := NewPool(targets)
	counts := map[*Target]int{}
	const each = 200
	for i := range uint64(100 * each) {
		m := p.Pick(Mix(i), 10, nil)
		counts[m]++
		m.Release()
	}
	for _, m := range targets {
		must.Between(t, each/2, counts[m], 2*each)
	}
}

func TestLatency(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var l Latency
	for range 20_000 {
		l.Observe(clock.Millis(r.IntN(1000)))
	}
	must.Between(t, 400, l.Mean(), 600)
	must.Between(t, 900, l.P95(), 1000)
	must.Between(t, 950, l.P99(), 1050)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := benchPool(n)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				p.Pick(Mix(i), 10, nil).Release()
			}
		})
	}
}

func BenchmarkPickNaive(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := benchPool(n)
			b.ReportAllocs()
			for b.Loop() {
				best := p.targets[0]
				for _, t := range p.targets {
					if t.hasRoom() && t.cost() < best.cost() {
						best = t
					}
				}
				if best.Acquire() {
					best.Release()
				}
			}
		})
	}
}

func BenchmarkPickParallel(b *testing.B) {
	for _, n := range []int{50, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := benchPool(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				r := rand.Uint64()
				for pb.Next() {
					r = Mix(r)
					if t := p.Pick(r, 10, nil); t != nil {
						t.Release()
					}
				}
			})
		})
	}
}

func benchPool(n int) *Pool {
	targets := targetsOf(n, 2)
	for i, t := range targets {
		t.Answered(clock.Millis(8+i%5), 0)
	}
	return NewPool(targets[:n/3], targets[n/3:])
}
