// Package packer decides which rooms to keep for needs that fit nowhere yet, and in which room a
// smaller need does the least harm to larger ones. A room is what a host of runs offers.
package packer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Run is a run that ends by itself.
	Run struct {
		Size sizer.Size
		// End is the forecast of its end.
		End clock.Millis
	}

	// Room is what a host offers. Free is negative where more is in use than there is.
	Room struct {
		Total, Free sizer.Size
		// Runs give their room back. What else is in use stays in use.
		Runs []Run
	}

	// Order is the turn of a need: by Priority, 0 first, then those that are not Late, then the one
	// that has waited longest.
	Order struct {
		Priority int
		Late     bool
		Since    clock.Millis
	}

	// Need is a size that fits in no room yet.
	Need struct {
		Size  sizer.Size
		Order Order
		// Suits reports whether a room may be used, whatever its size.
		Suits func(room int) bool
	}

	// Reservation keeps a room for a need, which is forecast to fit there at At.
	Reservation struct {
		Room, Need int
		At         clock.Millis
	}

	// offer is a room as a candidate for a need.
	offer struct {
		room int
		at   clock.Millis
		left float64
	}
)

// Compare returns a negative number if o goes before p, and a positive one if p goes before o.
func (o Order) Compare(p Order) int {
	return cmp.Or(cmp.Compare(o.Priority, p.Priority), compareBools(o.Late, p.Late), cmp.Compare(o.Since, p.Since))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Reserve returns at most limit reservations, in the order of the needs: for each the room that is the
// first to have space for it, and of several the one with the least space left over. A room is
// reserved for one need at most; a need that no room can hold gets none. It sorts the runs of the rooms.
func Reserve(now clock.Millis, needs []Need, rooms []Room, limit int) []Reservation {
	order := make([]int, len(needs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return needs[a].Order.Compare(needs[b].Order) })
	emptied := make([]sizer.Size, len(rooms))
	for i := range rooms {
		slices.SortFunc(rooms[i].Runs, func(a, b Run) int { return cmp.Compare(a.End, b.End) })
		emptied[i] = rooms[i].emptied()
	}
	taken := make([]bool, len(rooms))
	var rs []Reservation
	for _, n := range order {
		if len(rs) >= limit {
			break
		}
		o, ok := firstOffer(now, &needs[n], rooms, emptied, taken)
		if !ok {
			continue
		}
		taken[o.room] = true
		rs = append(rs, Reservation{Room: o.room, Need: n, At: o.at})
	}
	return rs
}

// firstOffer returns the best room for a need among those that are not taken.
func firstOffer(now clock.Millis, n *Need, rooms []Room, emptied []sizer.Size, taken []bool) (offer, bool) {
	var best offer
	found := false
	for i := range rooms {
		if taken[i] || !n.Size.Fits(emptied[i]) || !n.Suits(i) {
			continue
		}
		at, free := rooms[i].spaceFor(now, n.Size)
		o := offer{room: i, at: at, left: share(free.Sub(n.Size), rooms[i].Total)}
		if !found || cmp.Or(cmp.Compare(o.at, best.at), cmp.Compare(o.left, best.left)) < 0 {
			best, found = o, true
		}
	}
	return best, found
}

// spaceFor returns when a size that fits once all runs have ended is forecast to fit, and what is free
// then.
func (r *Room) spaceFor(now clock.Millis, size sizer.Size) (clock.Millis, sizer.Size) {
	at, free := now, r.Free
	for _, run := range r.Runs {
		if size.Fits(free) {
			break
		}
		at, free = max(at, run.End), free.Add(run.Size)
	}
	return at, free
}

// emptied returns what is free once all runs have ended.
func (r *Room) emptied() sizer.Size {
	free := r.Free
	for _, run := range r.Runs {
		free = free.Add(run.Size)
	}
	return free
}

// FitScore rates a room for a size that fits there, from 0 to 1, while larger sizes wait; higher is
// better. Rooms that could hold none of these, even after all runs there have ended, score at least a
// half; among equals, less space left over scores higher.
func FitScore(size sizer.Size, room Room, waiting []sizer.Size) float64 {
	score := (1 - share(room.Free.Sub(size), room.Total)) / 2
	emptied := room.emptied()
	if !slices.ContainsFunc(waiting, func(w sizer.Size) bool { return w.Fits(emptied) }) {
		score += 0.5
	}
	return score
}

// share returns the mean of the shares that a part has of a whole, over the resources of the whole.
func share(part, whole sizer.Size) float64 {
	sum, n := 0.0, 0
	add := func(p, w int64) {
		if w > 0 {
			sum += min(max(float64(p)/float64(w), 0), 1)
			n++
		}
	}
	add(part.Millicores(), whole.Millicores())
	add(part.MemoryBytes(), whole.MemoryBytes())
	add(part.Accelerators(), whole.Accelerators())
	return sum / float64(max(n, 1))
}
