package placer

import (
	"galenawharf.example/galenawharf/sizer"
)

type (
	// entry is a worker with what decisions need of it.
	entry struct {
		worker   Worker
		revision int64
		dirty    bool
		seen     uint64
		position int
		free     sizer.Size
		loads    []classLoad
		works    []workCount
		holdings []holding
	}

	// classLoad is what the tasks of one class hold on a worker.
	classLoad struct {
		class     int
		cores     float64
		services  int
		tolerance float64
	}

	// workCount is how many replicas of a service a worker has.
	workCount struct {
		work  string
		count int
	}

	// holding is what a team holds on a worker.
	holding struct {
		team string
		size sizer.Size
	}

	// place is a rack or data centre together with a service.
	place struct {
		where string
		work  string
	}
)

func coresOf(s sizer.Size) float64 { return float64(s.Millicores()) / 1000 }

// add counts a task in; its class is given by its number.
func (e *entry) add(t Task, class int) {
	e.holdings = append(e.holdings, holding{team: t.team, size: t.size})
	e.addLoad(t, class)
	if t.kind == Service {
		e.addWork(t.work)
	}
}

func (e *entry) addLoad(t Task, class int) {
	i := 0
	for i < len(e.loads) && e.loads[i].class != class {
		i++
	}
	if i == len(e.loads) {
		e.loads = append(e.loads, classLoad{class: class})
	}
	l := &e.loads[i]
	l.cores += coresOf(t.size)
	if t.kind != Service {
		return
	}
	if l.services == 0 || t.tolerance < l.tolerance {
		l.tolerance = t.tolerance
	}
	l.services++
}

func (e *entry) addWork(work string) {
	for i := range e.works {
		if e.works[i].work == work {
			e.works[i].count++
			return
		}
	}
	e.works = append(e.works, workCount{work: work, count: 1})
}

// replicas gives how many replicas of a service the worker has.
func (e *entry) replicas(work string) int {
	for _, w := range e.works {
		if w.work == work {
			return w.count
		}
	}
	return 0
}

// serves tells whether the worker has a replica of any service.
func (e *entry) serves() bool { return len(e.works) > 0 }

// load gives the part of the processors that is held, with cores more.
func (e *entry) load(cores float64) float64 {
	capacity := float64(max(e.worker.capacity.Millicores(), 1))
	return 1 - float64(e.free.Millicores())/capacity + 1000*cores/capacity
}
