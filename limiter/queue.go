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
		// tag is the virtual time by which waiters are ordered.
		tag int64
	}

	// Queue holds the waiting requests of a service in the order in which they are served.
	// Teams take turns (start-time fair queueing), so that a team with many requests
	// delays only its own. It is not safe for concurrent use.
	Queue[T any] struct {
		limit   int
		waiters []Waiter[T]
		// virtualTime is the highest tag served so far, lastTags the last tag of each team.
		virtualTime int64
		lastTags    map[string]int64
	}

	// Pace is the rate at which a service starts requests, and how long one takes.
	Pace struct {
		// interval is the time between starts in microseconds; 0 if unknown.
		interval int64
		// service is the time from the start of a request to its answer.
		service clock.Millis
	}
)

// NewWaiter returns a request of a team that has to be answered by a deadline.
func NewWaiter[T any](value T, team string, deadline clock.Millis) Waiter[T] {
	return Waiter[T]{value: value, team: team, deadline: deadline}
}

// Value returns the value given to NewWaiter.
func (w Waiter[T]) Value() T { return w.value }

// NewPace returns a pace at which a request starts every interval, in microseconds, 0 if
// unknown, and is answered after the service time.
func NewPace(interval int64, service clock.Millis) Pace {
	return Pace{interval: interval, service: service}
}

// Ready returns when a request behind n others is expected to be answered.
func (p Pace) Ready(now clock.Millis, n int) clock.Millis { return now + p.service + p.Drain(n) }

// Drain returns how long it takes until n requests have started.
func (p Pace) Drain(n int) clock.Millis {
	return clock.Millis(int64(n) * p.interval / microsPerMilli)
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, lastTags: map[string]int64{}}
}

// SetLimit sets the maximum number of requests. Requests over it stay in the queue.
func (q *Queue[T]) SetLimit(n int) { q.limit = n }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// At returns the waiter at a rank; 0 is the next to be served.
func (q *Queue[T]) At(rank int) Waiter[T] { return q.waiters[rank] }

// PushFront adds a request to the front, for one that was served before and is retried.
// The limit doesn't apply to it.
func (q *Queue[T]) PushFront(w Waiter[T]) {
	w.tag = q.virtualTime
	q.waiters = slices.Insert(q.waiters, 0, w)
}

// Push adds a request and returns its rank. If the queue is full, the request that would
// be served last, which may be w itself, is removed and returned as refused, and full is
// true.
func (q *Queue[T]) Push(w Waiter[T]) (rank int, refused Waiter[T], full bool) {
	w.tag = max(q.virtualTime, q.lastTags[w.team]) + 1
	rank = sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].tag > w.tag })
	if len(q.waiters) >= q.limit && rank == len(q.waiters) {
		return rank, w, true
	}
	q.lastTags[w.team] = w.tag
	q.waiters = slices.Insert(q.waiters, rank, w)
	if len(q.waiters) <= q.limit {
		return rank, refused, false
	}
	return rank, q.dropLast(), true
}

// dropLast removes and returns the request that would be served last. Its team's next
// request gets the same tag, so that the team isn't set back by the refusal.
func (q *Queue[T]) dropLast() Waiter[T] {
	last := q.waiters[len(q.waiters)-1]
	q.removeAt(len(q.waiters) - 1)
	q.lastTags[last.team] = last.tag - 1
	return last
}

// Take removes and returns the waiter at a rank, and advances the virtual time as for a
// request that is served.
func (q *Queue[T]) Take(rank int) Waiter[T] {
	w := q.waiters[rank]
	q.virtualTime = max(q.virtualTime, w.tag)
	q.removeAt(rank)
	q.resetIfEmpty()
	return w
}

// Drop removes and returns the waiter at a rank without serving it.
func (q *Queue[T]) Drop(rank int) Waiter[T] {
	w := q.waiters[rank]
	q.removeAt(rank)
	q.resetIfEmpty()
	return w
}

// Sweep removes and returns the waiters that would miss their deadline at the given pace,
// if the first starts now, and those for which drop returns true.
func (q *Queue[T]) Sweep(now clock.Millis, p Pace, drop func(T) bool) []Waiter[T] {
	var removed []Waiter[T]
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if drop(w.value) || p.Ready(now, len(kept)) > w.deadline {
			removed = append(removed, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	q.resetIfEmpty()
	return removed
}

func (q *Queue[T]) removeAt(rank int) { q.waiters = slices.Delete(q.waiters, rank, rank+1) }

// resetIfEmpty resets the virtual time and the tags of the teams if the queue is empty.
func (q *Queue[T]) resetIfEmpty() {
	if len(q.waiters) == 0 {
		clear(q.lastTags)
		q.virtualTime = 0
	}
}
