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
	// viewer makes snapshots of views and keeps what outlives them.
	viewer struct {
		mu         sync.Mutex
		name       string
		dataCentre string
		share      func(t *apportioner.Table, entry, address string) int
		services   map[string]*service
		targets    map[string]*router.Target
		divisions  map[string]division
	}

	// division is how the executors of a service are divided among entry hosts.
	division struct {
		entries   []apportioner.Entry
		executors []apportioner.Executor
		table     *apportioner.Table
	}

	// distance is how far an executor is: 0 for the same data centre, 1 for the
	// same region, 2 for any other.
	distance int
)

const distances = 3

func newViewer(name, dataCentre string) *viewer {
	return &viewer{
		name:       name,
		dataCentre: dataCentre,
		services:   map[string]*service{},
		targets:    map[string]*router.Target{},
	}
}

// snapshotOf gives what requests need to know of a view.
func (v *viewer) snapshotOf(w *View) *snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	regions := regionsOf(w.dataCentres)
	tiers := map[string]*[distances][]*router.Target{}
	targets := map[string]*router.Target{}
	tables := v.tablesOf(w)
	for _, h := range w.executors {
		if h.Leaving {
			continue
		}
		t := v.target(h, tables[h.Service])
		targets[h.Address] = t
		if tiers[h.Service] == nil {
			tiers[h.Service] = &[distances][]*router.Target{}
		}
		d := v.distanceTo(h.DataCentre, regions)
		tiers[h.Service][d] = append(tiers[h.Service][d], t)
	}
	v.targets = targets
	return v.routesOf(w, tiers)
}

func (v *viewer) routesOf(w *View, tiers map[string]*[distances][]*router.Target) *snapshot {
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
	for name, kept := range v.services {
		if s.routes[name] == nil && kept.unused() {
			delete(v.services, name)
		}
	}
	return s
}

func (v *viewer) routeOf(name string, d declarer.Service, p *router.Pool) *route {
	kept := v.services[name]
	if kept == nil {
		kept = newService(d.Limits)
		v.services[name] = kept
	}
	kept.gate.SetLimits(d.Limits)
	kept.budget.SetCapacity(p.Share())
	return &route{service: kept, name: name, priority: d.Priority, queue: d.Limits.Queue, target: d.LatencyTarget, pool: p}
}

// target gives the executor, the known one where there is one, with this
// entry host's share of it.
func (v *viewer) target(h provider.Host, table *apportioner.Table) *router.Target {
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

// tablesOf divides the executors of each service among the entry hosts.
func (v *viewer) tablesOf(w *View) map[string]*apportioner.Table {
	executors := map[string][]apportioner.Executor{}
	for _, h := range w.executors {
		if !h.Leaving {
			e := apportioner.NewExecutor(h.Address, h.DataCentre, min(h.Slots, h.Connections))
			executors[h.Service] = append(executors[h.Service], e)
		}
	}
	entries := v.entriesOf(w)
	divisions := make(map[string]division, len(executors))
	tables := make(map[string]*apportioner.Table, len(executors))
	for name, e := range executors {
		d, known := v.divisions[name]
		if !known || !slices.Equal(d.entries, entries) || !slices.Equal(d.executors, e) {
			d = division{entries: entries, executors: e, table: apportioner.NewTable(entries, e)}
		}
		divisions[name] = d
		tables[name] = d.table
	}
	v.divisions = divisions
	return tables
}

// entriesOf gives the entry hosts that are alive, this one included.
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
