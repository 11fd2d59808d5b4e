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
	// allocation is a worker's free capacity, the tasks that hold leases on it, and the
	// total size of their leases by team.
	allocation struct {
		free      sizer.Size
		residents []placer.Task
		byTeam    map[string]sizer.Size
	}

	// host is a worker of the shard.
	host struct {
		name     string
		address  string
		rack     string
		capacity sizer.Size
		leaving  bool
		// listed is set while the worker is in the list given to SetHosts.
		listed bool
		clock  clockBounds
		leases map[provider.Incarnation]*lease
		// inflight is the order that has no result yet. There is at most one per worker.
		inflight *Order
		// inventoryEpoch is the epoch of the last inventory, -1 if a new one is needed.
		inventoryEpoch  int64
		nextInventoryAt clock.Millis
		nextHeartbeatAt clock.Millis
		// lastContactAt is when the worker last answered.
		lastContactAt clock.Millis
		// failures counts the orders in a row that failed or got no answer.
		failures            int
		retryAt             clock.Millis
		nextServiceExtendAt clock.Millis
		nextCheckpointAt    clock.Millis
		nextUsageAt         clock.Millis
		// usageSince is the end of the newest usage sample, by the worker's clock.
		usageSince int64
		// stale is set when cachedAllocation must be recomputed.
		stale            bool
		cachedAllocation allocation
		// dirty is set while an order about a single lease may be due.
		dirty bool
	}
)

func newHost(name string) *host {
	return &host{name: name, inventoryEpoch: -1, stale: true, leases: map[provider.Incarnation]*lease{}}
}

// put adds a lease, replacing any lease of the same run.
func (h *host) put(l *lease) {
	l.host = h
	h.leases[l.incarnation] = l
	h.stale = true
}

func (h *host) remove(l *lease) {
	if h.leases[l.incarnation] == l {
		delete(h.leases, l.incarnation)
		h.stale = true
	}
}

func (h *host) clearLeases() {
	clear(h.leases)
	h.stale = true
}

func (h *host) update(p provider.Host) {
	h.address = p.Address
	h.rack = p.Rack
	h.capacity = p.Capacity.Size()
	h.stale = true
	h.leaving = p.Leaving
	h.listed = true
}

// free returns the capacity that no lease holds.
func (h *host) free() sizer.Size { return h.allocation().free }

// allocation returns the cached allocation, recomputing it if it is stale.
func (h *host) allocation() allocation {
	if !h.stale {
		return h.cachedAllocation
	}
	v := allocation{free: h.capacity, byTeam: map[string]sizer.Size{}}
	for _, l := range h.sorted() {
		if !l.holdsCapacity() {
			continue
		}
		v.free = v.free.Sub(l.size)
		if l.task != nil && l.task.spec != nil {
			v.residents = append(v.residents, l.task.placerTask())
			v.byTeam[l.task.spec.team] = v.byTeam[l.task.spec.team].Add(l.size)
		}
	}
	h.cachedAllocation = v
	h.stale = false
	return v
}

// sorted returns the leases sorted by task and incarnation.
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
