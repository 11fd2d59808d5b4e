package limiter

import (
	"cmp"
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

// expire forgets the jobs and slots that no longer count at a time.
func (t *tenantRate) expire(now clock.Millis) {
	t.accepted = slices.Delete(t.accepted, 0, searchTime(t.accepted, now-t.window+1))
	n := 0
	for n < len(t.slots) && t.slots[n].at+slotValidity < now {
		delete(t.slotOf, t.slots[n].id)
		t.maxSlots = max(t.maxSlots-t.maxSlots/unusedDivisor-1, t.leastSlots())
		n++
	}
	t.slots = slices.Delete(t.slots, 0, n)
}

// leastSlots returns the slots that there may be at a time even if none is ever used: these leave jobs
// without a slot the plain rate.
func (t *tenantRate) leastSlots() int {
	plain := t.perSecond * float64(t.window) / float64(clock.Second)
	return min(max(t.limit-int(math.Ceil(min(plain, math.MaxInt32))), 1), maxSlots)
}

// count adds an accepted job.
func (t *tenantRate) count(at clock.Millis) {
	t.accepted = slices.Insert(t.accepted, searchTime(t.accepted, at+1), at)
	if n := len(t.accepted) - max(t.limit, 1); n > 0 {
		t.accepted = slices.Delete(t.accepted, 0, n)
	}
}

// insert adds a slot.
func (t *tenantRate) insert(s slot) {
	i, _ := slices.BinarySearchFunc(t.slots, s, slot.compare)
	t.slots = slices.Insert(t.slots, i, s)
	t.slotOf[s.id] = s.at
}

// drop removes the slot of a job, if it has one.
func (t *tenantRate) drop(id string) {
	at, ok := t.slotOf[id]
	if !ok {
		return
	}
	delete(t.slotOf, id)
	if i, found := slices.BinarySearchFunc(t.slots, slot{at, id}, slot.compare); found {
		t.slots = slices.Delete(t.slots, i, i+1)
	}
}

func (s slot) compare(o slot) int { return cmp.Or(cmp.Compare(s.at, o.at), cmp.Compare(s.id, o.id)) }

// hasRoom reports whether a job may be accepted now: no window that contains now has limit jobs, even
// if each slot is used in the window.
func (t *tenantRate) hasRoom(now clock.Millis) bool {
	room := true
	t.eachWindow(now, now, func(_, _ clock.Millis, n int) bool {
		room = n < t.limit
		return room
	})
	return room
}

// nextSlot returns the earliest time of a slot for one more job: whenever it is used, no window has
// more than limit jobs, even if each other slot is used in the window. It returns false if there is
// none up to maxRetryAfter ahead.
func (t *tenantRate) nextSlot(now clock.Millis) (clock.Millis, bool) {
	if len(t.slots) >= t.maxSlots || t.limit < 1 {
		return 0, false
	}
	at := now + 1
	t.eachWindow(now, now+maxRetryAfter+slotValidity, func(first, last clock.Millis, n int) bool {
		if first > at+slotValidity {
			return false
		}
		if n >= t.limit && last > at-t.window {
			at = last + t.window
		}
		return at <= now+maxRetryAfter
	})
	return at, at <= now+maxRetryAfter
}

// eachWindow calls f with ranges of the starts of windows, in order, that cover all windows with a
// time from now to until, and with the most jobs that these windows may have. It stops if f returns
// false. No job is accepted before now.
func (t *tenantRate) eachWindow(now, until clock.Millis, f func(first, last clock.Millis, n int) bool) {
	// A window that starts at x contains the accepted jobs from x on, and may contain the jobs with
	// slots before its end whose validity is not over at x. i jobs and j slots are before the
	// window, k slots before its end.
	i, j, k := 0, 0, 0
	for x := now - t.window + 1; x <= until; {
		for i < len(t.accepted) && t.accepted[i] < x {
			i++
		}
		for j < len(t.slots) && t.slots[j].at+slotValidity < x {
			j++
		}
		for k < len(t.slots) && t.slots[k].at < x+t.window {
			k++
		}
		next := until + 1
		if i < len(t.accepted) {
			next = min(next, t.accepted[i]+1)
		}
		if j < len(t.slots) {
			next = min(next, t.slots[j].at+slotValidity+1)
		}
		if k < len(t.slots) {
			next = min(next, t.slots[k].at-t.window+1)
		}
		if !f(x, next-1, len(t.accepted)-i+k-j) {
			return
		}
		x = next
	}
}

// searchTime returns the index of the first time that is not before at.
func searchTime(times []clock.Millis, at clock.Millis) int {
	i, _ := slices.BinarySearch(times, at)
	return i
}
