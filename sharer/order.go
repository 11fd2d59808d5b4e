package sharer

import (
	"cmp"
	"container/heap"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Turns gives waiting tasks one after another, the next always from the
	// team that holds least of its quota.
	Turns struct {
		sharer *Sharer
		queues queues
		last   *queue
	}

	// ranked is a request with its place in the order.
	ranked struct {
		request  Request
		index    int
		priority float64
		band     int
	}

	// queue is what one team waits for, the next first.
	queue struct {
		team  string
		share float64
		items []ranked
	}

	queues []*queue
)

const (
	bandWidth     = 10
	deadlineBoost = 50
)

// Turns gives the order of requests at a moment. Requests are named by their
// place in the slice.
func (s *Sharer) Turns(now clock.Millis, requests []Request) *Turns {
	byTeam := map[string]*queue{}
	t := &Turns{sharer: s}
	for i, r := range requests {
		q := byTeam[r.team]
		if q == nil {
			q = &queue{team: r.team, share: s.Share(r.team)}
			byTeam[r.team] = q
			t.queues = append(t.queues, q)
		}
		p := s.urgency(now, r)
		q.items = append(q.items, ranked{request: r, index: i, priority: p, band: int(p) / bandWidth})
	}
	for _, q := range t.queues {
		slices.SortFunc(q.items, s.compare)
	}
	heap.Init(&t.queues)
	return t
}

// Next gives the place of the next request, false when there is none.
func (t *Turns) Next() (int, bool) {
	t.settle()
	if len(t.queues) == 0 {
		return 0, false
	}
	q := t.queues[0]
	r := q.items[0]
	q.items = q.items[1:]
	t.last = q
	return r.index, true
}

// settle puts the queue that was served last where it now belongs.
func (t *Turns) settle() {
	if t.last == nil {
		return
	}
	if len(t.last.items) == 0 {
		heap.Pop(&t.queues)
	} else {
		t.last.share = t.sharer.Share(t.last.team)
		heap.Fix(&t.queues, 0)
	}
	t.last = nil
}

// AdmitsRequest tells whether a request may hold its size now: within the quota, or
// on idle room where borrowing is on.
func (s *Sharer) AdmitsRequest(r Request) bool {
	return s.Admits(r.team, r.size) || s.borrowing && r.tier == TierBatch
}

// urgency gives the priority of a request with its age and deadline in it.
func (s *Sharer) urgency(now clock.Millis, r Request) float64 {
	p := float64(r.priority)
	p += float64(max(now-r.submitted, 0)) / float64(s.ageStep)
	if r.deadline == clock.Never {
		return p
	}
	left := r.deadline - r.runTime - now
	if left >= s.lead {
		return p
	}
	return p + deadlineBoost*(1-float64(max(left, 0))/float64(s.lead))
}

func (s *Sharer) compare(a, b ranked) int {
	c := cmp.Or(cmp.Compare(a.request.tier, b.request.tier), cmp.Compare(b.band, a.band))
	if c == 0 && s.jobOrder {
		c = cmp.Compare(a.request.remaining, b.request.remaining)
	}
	return cmp.Or(c,
		cmp.Compare(b.priority, a.priority),
		cmp.Compare(a.request.submitted, b.request.submitted),
		cmp.Compare(a.request.id, b.request.id),
	)
}

// Len is part of heap.Interface.
func (q queues) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q queues) Less(i, j int) bool {
	a, b := q[i].items[0], q[j].items[0]
	return cmp.Or(
		cmp.Compare(a.request.tier, b.request.tier),
		cmp.Compare(b.band, a.band),
		cmp.Compare(q[i].share, q[j].share),
		cmp.Compare(a.request.submitted, b.request.submitted),
		cmp.Compare(q[i].team, q[j].team),
	) < 0
}

// Swap is part of heap.Interface.
func (q queues) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *queues) Push(x any) { *q = append(*q, x.(*queue)) }

// Pop is part of heap.Interface.
func (q *queues) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
