package limiter

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
)

func TestGateRate(t *testing.T) {
	tests := map[string]struct {
		perSecond int
		// step is the time between attempts to enter.
		step clock.Millis
		// most is the maximum number of requests that may be admitted within a second.
		most int
	}{
		"one":       {perSecond: 1, step: 10, most: 2},
		"ten":       {perSecond: 10, step: 1, most: 11},
		"thousands": {perSecond: 2000, step: 1, most: 2201},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(declarer.RequestLimits{Concurrent: 1, PerSecond: tc.perSecond})
			var entered []clock.Millis
			for now := clock.Millis(0); now < 10*clock.Second; now += tc.step {
				for g.Enter(now) {
					entered = append(entered, now)
					g.Leave()
				}
			}
			for i := tc.most; i < len(entered); i++ {
				must.GreaterEq(t, clock.Second, entered[i]-entered[i-tc.most])
			}
			must.GreaterEq(t, 10*tc.perSecond, len(entered)+1)
		})
	}
}

func TestGateConcurrent(t *testing.T) {
	g := NewGate(declarer.RequestLimits{Concurrent: 2, PerSecond: 1000})
	must.True(t, g.Enter(0))
	must.True(t, g.Enter(0))
	must.False(t, g.Enter(0))
	g.Leave()
	must.True(t, g.Enter(0))
	must.Eq(t, int64(2), g.InFlight())
}

func TestWindow(t *testing.T) {
	w := NewWindow(8)
	must.Eq(t, 8, w.Limit(8))
	must.Eq(t, 3, w.Limit(3))
	must.Eq(t, 0, w.Limit(0))
	for range 100 {
		w.Observe(5, 8)
	}
	must.Eq(t, 1, w.Limit(8))
	for range 100 {
		w.Observe(0, 8)
	}
	must.Eq(t, 8, w.Limit(8))
}

type (
	// naiveQueue is a reference implementation of Queue: it scans all waiters for the one
	// with the lowest tag.
	naiveQueue struct {
		waiters     []naiveWaiter
		virtualTime int
		lastTags    map[string]int
	}

	naiveWaiter struct {
		id, tag, order int
		team           string
	}
)

func (q *naiveQueue) push(id int, team string) {
	tag := max(q.virtualTime, q.lastTags[team]) + 1
	q.lastTags[team] = tag
	q.waiters = append(q.waiters, naiveWaiter{id: id, tag: tag, order: id, team: team})
}

func (q *naiveQueue) take() int {
	first := slices.MinFunc(q.waiters, func(a, b naiveWaiter) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.order, b.order))
	})
	q.waiters = slices.DeleteFunc(q.waiters, func(w naiveWaiter) bool { return w.id == first.id })
	q.virtualTime = max(q.virtualTime, first.tag)
	if len(q.waiters) == 0 {
		q.lastTags, q.virtualTime = map[string]int{}, 0
	}
	return first.id
}

// TestQueueMatchesNaive checks that the queue serves in the same order as the unsorted
// reference implementation.
func TestQueueMatchesNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := NewQueue[int](1 << 30)
		n := &naiveQueue{lastTags: map[string]int{}}
		for id := range rapid.IntRange(1, 100).Draw(r, "steps") {
			if q.Len() > 0 && rapid.Bool().Draw(r, "take") {
				must.Eq(t, n.take(), q.Take(0).Value())
				continue
			}
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "team")
			n.push(id, team)
			_, _, full := q.Push(NewWaiter(id, team, clock.Never))
			must.False(t, full)
		}
		must.Eq(t, len(n.waiters), q.Len())
	})
}

// TestQueueFairness floods the queue with the requests of one team. Another team's
// requests must still get early ranks, and only those of the first be refused.
func TestQueueFairness(t *testing.T) {
	q := NewQueue[string](100)
	for i := range 500 {
		q.Push(NewWaiter(fmt.Sprint("flood", i), "noisy", clock.Never))
	}
	must.Eq(t, 100, q.Len())
	for i := range 10 {
		rank, refused, full := q.Push(NewWaiter(fmt.Sprint("quiet", i), "quiet", clock.Never))
		must.True(t, full)
		must.StrHasPrefix(t, "flood", refused.Value())
		must.LessEq(t, 2*i+1, rank)
	}
	must.Eq(t, 100, q.Len())
}

// TestQueueSweep checks that Sweep removes a request exactly if it would miss its
// deadline behind the requests that are kept before it.
func TestQueueSweep(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := NewQueue[int](1000)
		for i := range rapid.IntRange(0, 50).Draw(r, "n") {
			q.Push(NewWaiter(i, "t", clock.Millis(rapid.IntRange(0, 500).Draw(r, "deadline"))))
		}
		p := NewPace(int64(rapid.IntRange(0, 50_000).Draw(r, "interval")), 20)
		before := q.Len()
		late := q.Sweep(100, p, func(int) bool { return false })
		must.Eq(t, before, q.Len()+len(late))
		for i := range q.Len() {
			must.LessEq(t, q.At(i).deadline, p.Ready(100, i))
		}
		for _, w := range late {
			must.Less(t, p.Ready(100, q.Len()), w.deadline)
		}
	})
}

// TestQueuePushFront checks that a retried request goes to the front, even of a full
// queue.
func TestQueuePushFront(t *testing.T) {
	q := NewQueue[string](1)
	q.Push(NewWaiter("a", "t", clock.Never))
	q.PushFront(NewWaiter("again", "t", clock.Never))
	must.Eq(t, "again", q.Take(0).Value())
	must.Eq(t, "a", q.Take(0).Value())
}
