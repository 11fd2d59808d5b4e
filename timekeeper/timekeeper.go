// Package timekeeper measures how late a process gets its turns, so that it does not take its own
// delay for the silence of others. The delay may have any cause: too little processor time, a
// suspended host, or a long step of its own.
package timekeeper

import (
	"sync"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Timekeeper measures the delay of a loop that is meant to run at a fixed interval. It is
	// safe for concurrent use.
	Timekeeper struct {
		now      func() clock.Millis
		interval clock.Millis

		mu       sync.Mutex
		lastTurn clock.Millis
		lost     clock.Millis
		recent   clock.Millis
	}
)

const (
	// recentShare is the share by which a turn in time lowers Recent.
	recentShare = 0.2
)

// New returns a timekeeper of a loop that runs at an interval from now on.
func New(interval clock.Millis, now func() clock.Millis) *Timekeeper {
	return &Timekeeper{now: now, interval: interval, lastTurn: now()}
}

// Turn must be called at each turn of the loop. It returns how late the turn is.
func (k *Timekeeper) Turn() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	late := k.overdue(now)
	k.lastTurn = now
	k.lost += late
	k.recent = max(late, k.recent-clock.Millis(recentShare*float64(k.recent))-1)
	k.recent = max(k.recent, 0)
	return late
}

// Lost returns the time by which all turns were late together, with that of a turn which is
// overdue. The difference of two readings is how long the process was delayed between them.
func (k *Timekeeper) Lost() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lost + k.overdue(k.now())
}

// Recent returns how late the latest turns were. It follows a larger delay at once, and smaller
// ones within some ten turns.
func (k *Timekeeper) Recent() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.recent, k.overdue(k.now()))
}

func (k *Timekeeper) overdue(now clock.Millis) clock.Millis {
	return max(now-k.lastTurn-k.interval, 0)
}
