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

func newTargets(n, share int) []*Target {
	targets := make([]*Target, n)
	for i := range targets {
		targets[i] = NewTarget(provider.Host{Address: fmt.Sprint(i), Slots: 8, Connections: 64}, share)
	}
	return targets
}

// naiveFree returns the targets that Pick may choose, by checking each of them.
func naiveFree(targets, tried []*Target) []*Target {
	var free []*Target
	for _, t := range targets {
		if t.hasCapacity() && !slices.Contains(tried, t) {
			free = append(free, t)
		}
	}
	return free
}

// exceedsShare reports whether more attempts are in flight than a target's share.
func exceedsShare(t *Target, inFlight int) bool { return inFlight > t.Share() }

// TestPickMatchesNaiveScan checks after random changes that Pick returns only targets that
// a scan of all targets finds to have capacity, and nil only if the scan finds none. A
// stale bit in the pool would break this.
func TestPickMatchesNaiveScan(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		near := newTargets(rapid.IntRange(0, 70).Draw(r, "near"), 1)
		far := newTargets(rapid.IntRange(0, 70).Draw(r, "far"), 2)
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
				m.ClearLeaving()
			case 6:
				if len(held) > 0 {
					held[len(held)-1].Release()
					held = held[:len(held)-1]
				}
			default:
				tried := all[:min(rapid.IntRange(0, 3).Draw(r, "tried"), len(all))]
				free := naiveFree(all, tried)
				got := p.Pick(rapid.Uint64().Draw(r, "r"), 10, tried)
				must.Eq(t, len(free) == 0, got == nil)
				if got != nil {
					must.True(t, slices.Contains(free, got))
					held = append(held, got)
				}
			}
			for _, x := range all {
				must.False(t, exceedsShare(x, x.InFlight()))
			}
		}
	})
}

// TestExceedsShareDetectsViolation checks the helper exceedsShare: attempts added without
// Acquire must be detected.
func TestExceedsShareDetectsViolation(t *testing.T) {
	m := newTargets(1, 2)[0]
	for range 3 {
		m.inFlight.Add(1)
	}
	must.True(t, exceedsShare(m, m.InFlight()))
}

// TestPickConcurrent checks that concurrent picks never exceed a share, and that every
// slot is available again afterwards. A race in refresh could lose a target's bit.
func TestPickConcurrent(t *testing.T) {
	targets := newTargets(100, 2)
	p := NewPool(targets[:30], targets[30:])
	var w sync.WaitGroup
	for n := range uint64(8) {
		w.Go(func() {
			r := rand.New(rand.NewPCG(1, n))
			var held []*Target
			for range 5000 {
				if m := p.Pick(r.Uint64(), 10, nil); m != nil {
					must.False(t, exceedsShare(m, m.InFlight()))
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

// TestNewPoolKeepsInFlight checks that a new pool over the same targets accounts for
// attempts in flight, and that their release reaches the new pool.
func TestNewPoolKeepsInFlight(t *testing.T) {
	targets := newTargets(1, 1)
	old := NewPool(targets)
	m := old.Pick(1, 10, nil)
	p := NewPool(targets)
	p.Refresh()
	must.Nil(t, p.Pick(1, 10, nil))
	m.Release()
	must.Eq(t, m, p.Pick(1, 10, nil))
}

func TestPickPrefersNearest(t *testing.T) {
	tests := map[string]struct {
		prepare func(near, far *Target)
		near    bool
	}{
		"both idle":             {prepare: func(*Target, *Target) {}, near: true},
		"near full":             {prepare: func(n, _ *Target) { n.Acquire() }},
		"near has a queue":      {prepare: func(n, _ *Target) { n.Answered(10, 9) }},
		"near much slower":      {prepare: func(n, _ *Target) { n.Answered(100, 0) }},
		"near slightly slower":  {prepare: func(n, _ *Target) { n.Answered(12, 0) }, near: true},
		"both slow":             {prepare: func(n, f *Target) { n.Answered(100, 0); f.ResetStats(); f.Answered(100, 0) }, near: true},
		"near closed":           {prepare: func(n, _ *Target) { n.SetMode(Closed) }},
		"near leaving":          {prepare: func(n, _ *Target) { n.SetLeaving(1) }},
		"near returned":         {prepare: func(n, _ *Target) { n.SetLeaving(1); n.ClearLeaving() }, near: true},
		"near probing and busy": {prepare: func(n, _ *Target) { n.SetMode(Probing); n.SetShare(3); n.Acquire() }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			targets := newTargets(2, 1)
			near, far := targets[0], targets[1]
			far.Answered(10, 0)
			p := NewPool([]*Target{near}, []*Target{far})
			tc.prepare(near, far)
			must.Eq(t, tc.near, p.Pick(7, 10, nil) == near)
		})
	}
}

// TestPickSpreadsEvenly checks that identical targets get similar numbers of attempts.
func TestPickSpreadsEvenly(t *testing.T) {
	targets := newTargets(100, 1)
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

func BenchmarkPickNaiveScan(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := benchPool(n)
			b.ReportAllocs()
			for b.Loop() {
				best := p.targets[0]
				for _, t := range p.targets {
					if t.hasCapacity() && t.cost() < best.cost() {
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
	targets := newTargets(n, 2)
	for i, t := range targets {
		t.Answered(clock.Millis(8+i%5), 0)
	}
	return NewPool(targets[:n/3], targets[n/3:])
}
