package placer

import (
	"galenawharf.example/galenawharf/sizer"
)

type (
	// indexedWorker is a worker with the totals that placement decisions use.
	indexedWorker struct {
		worker   Worker
		revision int64
		// dirty is set if a decision has changed the totals since the last sync.
		dirty bool
		// generation is the Placer's generation at the last sync that listed the worker.
		generation uint64
		// bucketPosition is the position in the worker's bucket of the index.
		bucketPosition int
		free           sizer.Size
		// standing is the size of the tasks that run continuously: services and watch jobs.
		standing      sizer.Size
		loads         []classLoad
		replicaCounts []replicaCount
		teamGrants    []teamGrant
	}

	// classLoad is the total of the tasks of one class on a worker: their cores, the number
	// of service replicas among them, and the smallest tolerance of these.
	classLoad struct {
		class     int
		cores     float64
		services  int
		tolerance float64
	}

	replicaCount struct {
		work  string
		count int
	}

	// teamGrant is the size granted to a task of a team on a worker.
	teamGrant struct {
		team string
		size sizer.Size
	}

	// domainKey identifies the replicas of a service in a failure domain, which is a rack or
	// a data centre.
	domainKey struct {
		domain string
		work   string
	}
)

func coresOf(s sizer.Size) float64 { return float64(s.Millicores()) / 1000 }

// addTask adds a task to the totals. class is the number of its class.
func (e *indexedWorker) addTask(t Task, class int) {
	e.teamGrants = append(e.teamGrants, teamGrant{team: t.team, size: t.size})
	e.addLoad(t, class)
	if t.kind == Service || t.kind == Watch {
		e.standing = e.standing.Add(t.size)
	}
	if t.kind == Service {
		e.addReplica(t.work)
	}
}

func (e *indexedWorker) addLoad(t Task, class int) {
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

func (e *indexedWorker) addReplica(work string) {
	for i := range e.replicaCounts {
		if e.replicaCounts[i].work == work {
			e.replicaCounts[i].count++
			return
		}
	}
	e.replicaCounts = append(e.replicaCounts, replicaCount{work: work, count: 1})
}

func (e *indexedWorker) replicas(work string) int {
	for _, w := range e.replicaCounts {
		if w.work == work {
			return w.count
		}
	}
	return 0
}

// hasService reports whether the worker runs a replica of any service.
func (e *indexedWorker) hasService() bool { return len(e.replicaCounts) > 0 }

// load returns the granted fraction of the worker's processors after granting cores more.
func (e *indexedWorker) load(cores float64) float64 {
	capacity := float64(max(e.worker.capacity.Millicores(), 1))
	return 1 - float64(e.free.Millicores())/capacity + 1000*cores/capacity
}
