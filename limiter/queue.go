package limiter

import (
	"slices"
	"sort"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Waiter is a request that waits for an executor.
	Waiter[T any] struct {
		value    T
		team     string
		deadline clock.Millis
		tag      int64
	}

	// Queue holds the requests to a service that wait, in the order in which they are served. Teams take turns
	// (start-time fair queueing): a team that sends many requests waits
	// behind its own and not before those of others. It is driven by one goroutine.
	Queue[T any] struct {
		limit   int
		waiters []Waiter[T]
		virtual int64
		lasts   map[string]int64
	}

	// Pace is how fast requests are served.
	Pace struct {
		interval int64
		service  clock.Millis
	}
)

// NewWaiter gives a request of a team that is of use until a deadline.
func NewWaiter[T any](value T, team string, deadline clock.Millis) Waiter[T] {
	return Waiter[T]{value: value, team: team, deadline: deadline}
}

// Value gives what the waiter stands for.
func (w Waiter[T]) Value() T { return w.value }

// NewPace gives the pace of one request started every interval, in microseconds (0 where it isn't
// known), that then takes the service time.
func NewPace(interval int64, service clock.Millis) Pace {
	return Pace{interval: interval, service: service}
}

// Ready gives when a request that starts after n others is expected to be
// answered.
func (p Pace) Ready(now clock.Millis, n int) clock.Millis { return now + p.service + p.Drain(n) }

// Drain gives how long n requests take to start.
func (p Pace) Drain(n int) clock.Millis {
	return clock.Millis(int64(n) * p.interval / microsPerMilli)
}

// NewQueue gives an empty queue that holds at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, lasts: map[string]int64{}}
}

// SetLimit replaces the most requests that wait. Those over it stay.
func (q *Queue[T]) SetLimit(n int) { q.limit = n }

// Len gives the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// At gives the waiter at a rank, 0 for the next to be served.
func (q *Queue[T]) At(rank int) Waiter[T] { return q.waiters[rank] }

// PushFront adds a request that was served before and is tried again. It goes
// before others and is not refused.
func (q *Queue[T]) PushFront(w Waiter[T]) {
	w.tag = q.virtual
	q.waiters = slices.Insert(q.waiters, 0, w)
}

// Push adds a request and gives its rank. Where the queue is full, the one
// that would be served last is refused: it is given back, and full is true.
func (q *Queue[T]) Push(w Waiter[T]) (rank int, refused Waiter[T], full bool) {
	w.tag = max(q.virtual, q.lasts[w.team]) + 1
	rank = sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].tag > w.tag })
	if len(q.waiters) >= q.limit && rank == len(q.waiters) {
		return rank, w, true
	}
	q.lasts[w.team] = w.tag
	q.waiters = slices.Insert(q.waiters, rank, w)
	if len(q.waiters) <= q.limit {
		return rank, refused, false
	}
	return rank, q.dropLast(), true
}

func (q *Queue[T]) dropLast() Waiter[T] {
	last := q.waiters[len(q.waiters)-1]
	q.cut(len(q.waiters) - 1)
	q.lasts[last.team] = last.tag - 1
	return last
}

// Take removes the waiter at a rank to serve it.
func (q *Queue[T]) Take(rank int) Waiter[T] {
	w := q.waiters[rank]
	q.virtual = max(q.virtual, w.tag)
	q.cut(rank)
	q.forget()
	return w
}

// Drop removes the waiter at a rank without serving it.
func (q *Queue[T]) Drop(rank int) Waiter[T] {
	w := q.waiters[rank]
	q.cut(rank)
	q.forget()
	return w
}

// Sweep removes and gives the waiters that can't be answered by their deadline
// at a pace, the first of them starting now, and those that drop says are of no use.
func (q *Queue[T]) Sweep(now clock.Millis, p Pace, drop func(T) bool) []Waiter[T] {
	var late []Waiter[T]
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if drop(w.value) || p.Ready(now, len(kept)) > w.deadline {
			late = append(late, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	q.forget()
	return late
}

func (q *Queue[T]) cut(rank int) { q.waiters = slices.Delete(q.waiters, rank, rank+1) }

// forget drops what is known of teams once nothing waits.
func (q *Queue[T]) forget() {
	if len(q.waiters) == 0 {
		clear(q.lasts)
		q.virtual = 0
	}
}
