package keeper

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
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
		// dirty is set while there may be an order to give.
		dirty bool
	}
)

func newHost(name string) *host {
	return &host{name: name, taken: -1, leases: map[provider.Incarnation]*lease{}}
}

func (h *host) set(p provider.Host) {
	h.address = p.Address
	h.rack = p.Rack
	h.capacity = p.Capacity.Size()
	h.leaving = p.Leaving
	h.listed = true
}

// free gives the capacity less all that holds room.
func (h *host) free() sizer.Size {
	f := h.capacity
	for _, l := range h.leases {
		if l.holds() {
			f = f.Sub(l.size)
		}
	}
	return f
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
