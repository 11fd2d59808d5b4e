package dispatcher

import (
	"slices"
	"sync"

	"galenawharf.example/galenawharf/apportioner"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/router"
)

type (
	// viewer builds snapshots from views, and keeps the state of services and executors
	// from one snapshot to the next.
	viewer struct {
		mu         sync.Mutex
		name       string
		dataCentre string
		// share returns the slots that an entry host may use at an executor; see
		// policy.share.
		share       func(t *apportioner.Table, entry, address string) int
		services    map[string]*service
		targets     map[string]*router.Target
		allocations map[string]allocation
	}

	// allocation is the division of a service's slots (or connections, where an executor
	// has fewer) among entry hosts, with the inputs that it was computed from.
	allocation struct {
		entries   []apportioner.Entry
		executors []apportioner.Executor
		table     *apportioner.Table
	}

	// distance is the distance of an executor from this entry host: 0 in the same data
	// centre, 1 in the same region, 2 elsewhere.
	distance int
)

const numDistances = 3

func newViewer(name, dataCentre string) *viewer {
	return &viewer{
		name:       name,
		dataCentre: dataCentre,
		services:   map[string]*service{},
		targets:    map[string]*router.Target{},
	}
}

// snapshotOf returns the routing state for a view.
func (v *viewer) snapshotOf(w *View) *snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	regions := regionsOf(w.dataCentres)
	tiers := map[string]*[numDistances][]*router.Target{}
	targets := map[string]*router.Target{}
	tables := v.tablesOf(w)
	for _, h := range w.executors {
		if h.Leaving {
			continue
		}
		t := v.targetOf(h, tables[h.Service])
		targets[h.Address] = t
		if tiers[h.Service] == nil {
			tiers[h.Service] = &[numDistances][]*router.Target{}
		}
		d := v.distanceTo(h.DataCentre, regions)
		tiers[h.Service][d] = append(tiers[h.Service][d], t)
	}
	v.targets = targets
	return v.routesOf(w, tiers)
}

func (v *viewer) routesOf(w *View, tiers map[string]*[numDistances][]*router.Target) *snapshot {
	s := &snapshot{routes: make(map[string]*route, len(tiers))}
	declared := map[string]declarer.Service{}
	for _, d := range w.services {
		declared[d.Name] = d
	}
	for name, t := range tiers {
		d := declared[name]
		d.Defaults()
		s.routes[name] = v.routeOf(name, d, router.NewPool(t[:]...))
	}
	for name, svc := range v.services {
		if s.routes[name] == nil && svc.idle() {
			delete(v.services, name)
		}
	}
	return s
}

func (v *viewer) routeOf(name string, d declarer.Service, p *router.Pool) *route {
	svc := v.services[name]
	if svc == nil {
		svc = newService(d.Limits)
		v.services[name] = svc
	}
	svc.gate.SetLimits(d.Limits)
	svc.budget.SetCapacity(p.Share())
	return &route{service: svc, name: name, priority: d.Priority, queueLimit: d.Limits.Queue, latencyTarget: d.LatencyTarget, pool: p}
}

// targetOf returns the target of an executor, with this entry host's current share. An
// existing target is reused, since it holds the latency and failures seen so far.
func (v *viewer) targetOf(h provider.Host, table *apportioner.Table) *router.Target {
	share := v.share(table, v.name, h.Address)
	t := v.targets[h.Address]
	if t == nil {
		return router.NewTarget(h, share)
	}
	if t.Share() != share {
		t.SetShare(share)
	}
	return t
}

// tablesOf returns, by service, the table of the slots that each entry host may use. Tables
// are reused while their inputs don't change.
func (v *viewer) tablesOf(w *View) map[string]*apportioner.Table {
	executors := map[string][]apportioner.Executor{}
	for _, h := range w.executors {
		if !h.Leaving {
			e := apportioner.NewExecutor(h.Address, h.DataCentre, min(h.Slots, h.Connections))
			executors[h.Service] = append(executors[h.Service], e)
		}
	}
	entries := v.entriesOf(w)
	allocations := make(map[string]allocation, len(executors))
	tables := make(map[string]*apportioner.Table, len(executors))
	for name, e := range executors {
		d, known := v.allocations[name]
		if !known || !slices.Equal(d.entries, entries) || !slices.Equal(d.executors, e) {
			d = allocation{entries: entries, executors: e, table: apportioner.NewTable(entries, e)}
		}
		allocations[name] = d
		tables[name] = d.table
	}
	v.allocations = allocations
	return tables
}

// entriesOf returns the entry hosts that are alive. It always includes this one, which a
// view may not list yet.
func (v *viewer) entriesOf(w *View) []apportioner.Entry {
	entries := []apportioner.Entry{apportioner.NewEntry(v.name, v.dataCentre)}
	for _, h := range w.entries {
		if h.Name != v.name {
			entries = append(entries, apportioner.NewEntry(h.Name, h.DataCentre))
		}
	}
	return entries
}

func (v *viewer) distanceTo(dataCentre string, regions map[string]string) distance {
	if dataCentre == v.dataCentre {
		return 0
	}
	if regions[dataCentre] == regions[v.dataCentre] {
		return 1
	}
	return 2
}

func regionsOf(dataCentres []declarer.DataCentre) map[string]string {
	regions := make(map[string]string, len(dataCentres))
	for _, d := range dataCentres {
		regions[d.Name] = d.Region
	}
	return regions
}
