package sharer

import (
	"cmp"
	"container/heap"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Order iterates over waiting tasks by tier, then by priority band, then by the dominant
	// share of their team, lowest first.
	Order struct {
		sharer *Sharer
		queues teamHeap
		last   *teamQueue
	}

	// ranked is a request with its sort keys.
	ranked struct {
		request  Request
		index    int
		priority float64
		band     int
	}

	// teamQueue holds the remaining requests of one team, sorted.
	teamQueue struct {
		team  string
		share float64
		items []ranked
	}

	teamHeap []*teamQueue
)

const (
	// bandWidth is the width of a priority band. The order of teams with priorities in the
	// same band depends on their dominant shares.
	bandWidth = 10
	// deadlineBoost is the most that an approaching deadline raises the priority.
	deadlineBoost = 50
)

// Order returns the order of requests at a time. Requests are identified by their index
// in the slice.
func (s *Sharer) Order(now clock.Millis, requests []Request) *Order {
	byTeam := map[string]*teamQueue{}
	t := &Order{sharer: s}
	for i, r := range requests {
		q := byTeam[r.team]
		if q == nil {
			q = &teamQueue{team: r.team, share: s.DominantShare(r.team)}
			byTeam[r.team] = q
			t.queues = append(t.queues, q)
		}
		p := s.Priority(now, r)
		q.items = append(q.items, ranked{request: r, index: i, priority: p, band: int(p) / bandWidth})
	}
	for _, q := range t.queues {
		slices.SortFunc(q.items, s.compare)
	}
	heap.Init(&t.queues)
	return t
}

// Next returns the index of the next request, and false if there is none. It uses the
// current shares, so a caller that has placed a request must call Sharer.Hold before it
// calls Next again.
func (t *Order) Next() (int, bool) {
	t.requeueLast()
	if len(t.queues) == 0 {
		return 0, false
	}
	q := t.queues[0]
	r := q.items[0]
	q.items = q.items[1:]
	t.last = q
	return r.index, true
}

// requeueLast restores the heap order after the last request of a team was taken and its
// share may have changed.
func (t *Order) requeueLast() {
	if t.last == nil {
		return
	}
	if len(t.last.items) == 0 {
		heap.Pop(&t.queues)
	} else {
		t.last.share = t.sharer.DominantShare(t.last.team)
		heap.Fix(&t.queues, 0)
	}
	t.last = nil
}

// AdmitsRequest reports whether a request may be placed now: within the quota or, for
// batch tasks with borrowing enabled, beyond it.
func (s *Sharer) AdmitsRequest(r Request) bool {
	return s.Admits(r.team, r.size) || s.borrowing && r.tier == TierBatch
}

// Priority returns the priority of a request raised by the time waited, and by up to
// deadlineBoost as the latest start that meets the deadline approaches.
func (s *Sharer) Priority(now clock.Millis, r Request) float64 {
	p := float64(r.priority)
	p += float64(max(now-r.submitted, 0)) / float64(s.ageStep)
	if r.deadline == clock.Never {
		return p
	}
	slack := r.deadline - r.runTime - now
	if slack >= s.deadlineWindow {
		return p
	}
	return p + deadlineBoost*(1-float64(max(slack, 0))/float64(s.deadlineWindow))
}

// compare orders the requests of one team.
func (s *Sharer) compare(a, b ranked) int {
	c := cmp.Or(cmp.Compare(a.request.tier, b.request.tier), cmp.Compare(b.band, a.band))
	if c == 0 && s.jobOrder {
		c = cmp.Compare(a.request.remainingWork, b.request.remainingWork)
	}
	return cmp.Or(c,
		cmp.Compare(b.priority, a.priority),
		cmp.Compare(a.request.submitted, b.request.submitted),
		cmp.Compare(a.request.id, b.request.id),
	)
}

// Len implements heap.Interface.
func (q teamHeap) Len() int { return len(q) }

// Less implements heap.Interface.
func (q teamHeap) Less(i, j int) bool {
	a, b := q[i].items[0], q[j].items[0]
	return cmp.Or(
		cmp.Compare(a.request.tier, b.request.tier),
		cmp.Compare(b.band, a.band),
		cmp.Compare(q[i].share, q[j].share),
		cmp.Compare(a.request.submitted, b.request.submitted),
		cmp.Compare(q[i].team, q[j].team),
	) < 0
}

// Swap implements heap.Interface.
func (q teamHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *teamHeap) Push(x any) { *q = append(*q, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (q *teamHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
