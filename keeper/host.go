package keeper

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// view is what is derived from a worker's leases.
	view struct {
		free      sizer.Size
		residents []placer.Task
		teams     map[string]sizer.Size
	}

	// host is a worker of the shard.
	host struct {
		name     string
		address  string
		rack     string
		capacity sizer.Size
		leaving  bool
		listed   bool
		clock    window
		leases   map[provider.Incarnation]*lease
		inflight *Order
		// taken is the epoch of the last inventory, -1 for none.
		taken        int64
		inventoryAt  clock.Millis
		contactAt    clock.Millis
		heard        clock.Millis
		failures     int
		retryAt      clock.Millis
		longAt       clock.Millis
		checkpointAt clock.Millis
		usageAt      clock.Millis
		usageSince   int64
		// stale is set when the view is to be made anew.
		stale bool
		view  view
		// dirty is set while there may be an order to give.
		dirty bool
	}
)

func newHost(name string) *host {
	return &host{name: name, taken: -1, stale: true, leases: map[provider.Incarnation]*lease{}}
}

// put adds a lease in place of one of the same run.
func (h *host) put(l *lease) {
	l.host = h
	h.leases[l.incarnation] = l
	h.stale = true
}

// remove forgets a lease.
func (h *host) remove(l *lease) {
	if h.leases[l.incarnation] == l {
		delete(h.leases, l.incarnation)
		h.stale = true
	}
}

// clearLeases forgets all.
func (h *host) clearLeases() {
	clear(h.leases)
	h.stale = true
}

func (h *host) set(p provider.Host) {
	h.address = p.Address
	h.rack = p.Rack
	h.capacity = p.Capacity.Size()
	h.stale = true
	h.leaving = p.Leaving
	h.listed = true
}

// free gives the capacity less all that holds room.
func (h *host) free() sizer.Size { return h.seen().free }

// seen gives the view, made anew where a lease has changed.
func (h *host) seen() view {
	if !h.stale {
		return h.view
	}
	v := view{free: h.capacity, teams: map[string]sizer.Size{}}
	for _, l := range h.sorted() {
		if !l.holds() {
			continue
		}
		v.free = v.free.Sub(l.size)
		if l.task != nil && l.task.spec != nil {
			v.residents = append(v.residents, l.task.placed())
			v.teams[l.task.spec.team] = v.teams[l.task.spec.team].Add(l.size)
		}
	}
	h.view = v
	h.stale = false
	return v
}

// sorted gives the leases in the order of their names.
func (h *host) sorted() []*lease {
	all := make([]*lease, 0, len(h.leases))
	for _, l := range h.leases {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *lease) int {
		return cmp.Or(
			cmp.Compare(a.incarnation.Task, b.incarnation.Task),
			cmp.Compare(a.incarnation.Number, b.incarnation.Number))
	})
	return all
}
