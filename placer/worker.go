package placer

import "galenawharf.example/galenawharf/sizer"

type (
	// Worker is a worker as its shard's owner sees it.
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

	// Decision is that a task goes to a worker. Where victims are named, they
	// are evicted first and the task is placed when their room is free.
	Decision struct {
		task    string
		worker  string
		victims []string
		size    sizer.Size
	}
)

// NewWorker gives a worker. free is its capacity less what is granted, of
// unknown outcome or being stopped. A closed worker takes nothing new.
func NewWorker(name, dataCentre, rack string, capacity, free sizer.Size, residents []Task, closed bool) Worker {
	return Worker{name: name, dataCentre: dataCentre, rack: rack, capacity: capacity, free: free, residents: residents, closed: closed}
}

// NewDecision gives the decision that a task goes to a worker.
func NewDecision(task, worker string, victims ...string) Decision {
	return Decision{task: task, worker: worker, victims: victims}
}

// WithRevision gives the worker with a number that changes whenever anything
// else of it does. A Placer looks again only at workers whose number changed;
// 0 is never taken as unchanged.
func (w Worker) WithRevision(n int64) Worker {
	w.revision = n
	return w
}

// WithSize gives the decision with the size to grant.
func (d Decision) WithSize(s sizer.Size) Decision {
	d.size = s
	return d
}

// Name gives the host's name.
func (w Worker) Name() string { return w.name }

// DataCentre gives where it stands.
func (w Worker) DataCentre() string { return w.dataCentre }

// Rack gives the rack that it stands in.
func (w Worker) Rack() string { return w.rack }

// Capacity gives all that it can hold.
func (w Worker) Capacity() sizer.Size { return w.capacity }

// Free gives what it can still hold.
func (w Worker) Free() sizer.Size { return w.free }

// Residents gives the tasks that hold room on it.
func (w Worker) Residents() []Task { return w.residents }

// Closed tells whether it takes nothing new.
func (w Worker) Closed() bool { return w.closed }

// Task gives the task's id.
func (d Decision) Task() string { return d.task }

// Worker gives the worker's name.
func (d Decision) Worker() string { return d.worker }

// Victims gives the tasks to evict first.
func (d Decision) Victims() []string { return d.victims }

// Size gives the size to grant, which may differ from what is declared; zero
// for the declared size.
func (d Decision) Size() sizer.Size { return d.size }
