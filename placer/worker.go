package placer

import "galenawharf.example/galenawharf/sizer"

type (
	// Worker is a worker as the shard's owner last recorded it.
	Worker struct {
		name       string
		dataCentre string
		rack       string
		capacity   sizer.Size
		free       sizer.Size
		residents  []Task
		closed     bool
		revision   int64
	}

	// Decision assigns a task to a worker. If it has victims, they are evicted first and
	// the task starts when their room is free.
	Decision struct {
		task    string
		worker  string
		victims []string
		size    sizer.Size
	}
)

// NewWorker returns a worker. free is the capacity less the tasks that are granted, being
// stopped, or of unknown outcome. A closed worker accepts no new tasks.
func NewWorker(name, dataCentre, rack string, capacity, free sizer.Size, residents []Task, closed bool) Worker {
	return Worker{name: name, dataCentre: dataCentre, rack: rack, capacity: capacity, free: free, residents: residents, closed: closed}
}

// NewDecision returns the decision to run a task on a worker after evicting the victims.
func NewDecision(task, worker string, victims ...string) Decision {
	return Decision{task: task, worker: worker, victims: victims}
}

// WithRevision returns the worker with a revision number, which must change whenever
// anything else about the worker does. A Placer reads only workers with a changed
// revision again; a worker with revision 0 is always read again.
func (w Worker) WithRevision(n int64) Worker {
	w.revision = n
	return w
}

// WithSize returns the decision with the size to grant.
func (d Decision) WithSize(s sizer.Size) Decision {
	d.size = s
	return d
}

// Name returns the host's name.
func (w Worker) Name() string { return w.name }

// DataCentre returns the data centre of the worker.
func (w Worker) DataCentre() string { return w.dataCentre }

// Rack returns the rack of the worker.
func (w Worker) Rack() string { return w.rack }

// Capacity returns the total size of the worker.
func (w Worker) Capacity() sizer.Size { return w.capacity }

// Free returns the size that can still be granted.
func (w Worker) Free() sizer.Size { return w.free }

// Residents returns the tasks that occupy room on the worker.
func (w Worker) Residents() []Task { return w.residents }

// Closed reports whether the worker accepts no new tasks.
func (w Worker) Closed() bool { return w.closed }

// Task returns the task's id.
func (d Decision) Task() string { return d.task }

// Worker returns the worker's name.
func (d Decision) Worker() string { return d.worker }

// Victims returns the ids of the tasks to evict first.
func (d Decision) Victims() []string { return d.victims }

// Size returns the size to grant, which may differ from the declared size; zero means the
// declared size.
func (d Decision) Size() sizer.Size { return d.size }
