package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/regulator"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// placementRound is the state of one round of placing.
	placementRound struct {
		now clock.Millis
		// workers may get fillers, unreserved may get other tasks too.
		workers, unreserved []*worker
		unplaced            unplacedSet
	}
)

const (
	// shareReserveDelay is how long a task of a tenant within its fair share finds no room before
	// workers are reserved for it. It adds to the longest run, after which the tenant gets its share
	// back; tasks that would fit soon anyway should leave no room idle.
	shareReserveDelay = clock.Second
	// keptWorkerPenalty is a share of the worker's processors, like the score. It is more than what a
	// task gains by its image or its rack.
	keptWorkerPenalty = 2.0
)

// sharesRoom reports whether tenants share the deployment.
func (s *Scheduler) sharesRoom() bool { return len(s.tenants) > 0 }

// updateShares tells the sharer which tenants wait, and how much room the given workers have.
func (s *Scheduler) updateShares(ds []demand, ws []*worker) {
	if !s.sharesRoom() {
		return
	}
	s.noteWaiting(ds)
	s.sharer.SetRoom(roomOf(ws))
}

// noteWaiting tells the sharer which tenants wait.
func (s *Scheduler) noteWaiting(ds []demand) {
	if len(ds) == 0 && len(s.waitingTenants) == 0 {
		return
	}
	waiting := make(map[string]bool, len(s.waitingTenants))
	for i := range ds {
		if name := ds[i].tenant(); name != "" && len(ds[i].tasks) > 0 {
			waiting[name] = true
		}
	}
	for name := range s.waitingTenants {
		if !waiting[name] {
			s.sharer.SetWaiting(name, false)
		}
	}
	for name := range waiting {
		if !s.waitingTenants[name] {
			s.sharer.SetWaiting(name, true)
		}
	}
	s.waitingTenants = waiting
}

// measureRoom tells the sharer how much room the available workers have, also while nothing waits.
func (s *Scheduler) measureRoom() {
	if !s.sharesRoom() {
		return
	}
	now := s.now()
	var ws []*worker
	for _, w := range s.workers {
		if s.unavailability(w, now) == notExcluded {
			ws = append(ws, w)
		}
	}
	s.sharer.SetRoom(roomOf(ws))
}

func roomOf(ws []*worker) sizer.Size {
	var cpu, memory, gpu int64
	for _, w := range ws {
		cpu, memory, gpu = cpu+w.info.CPU, memory+w.info.Memory, gpu+w.info.GPU
	}
	return sizer.New(cpu, memory*sizer.MiB, gpu)
}

// placeByShare places demands, which are ordered by their ranks. Of those that are equally
// long-running and of one priority, the parts within the fair shares of their tenants go first.
func (s *Scheduler) placeByShare(ds []demand, r *placementRound) {
	for start := 0; start < len(ds); {
		end := start + 1
		for end < len(ds) && ds[end].rank.sharesWith(ds[start].rank) {
			end++
		}
		s.placeGroup(ds[start:end], r)
		start = end
	}
}

// sharesWith reports whether fair shares decide between jobs of two ranks.
func (r rank) sharesWith(o rank) bool { return r.finite == o.finite && r.priority == o.priority }

// placeGroup places demands between which fair shares decide.
func (s *Scheduler) placeGroup(ds []demand, r *placementRound) {
	var blocked, beyond []demand
	for _, d := range ds {
		if s.startsLeft <= 0 {
			return
		}
		within, rest := s.splitByShare(d)
		if len(within.tasks) > 0 && !s.placeNext(within, r) {
			// There is no room for the rest either.
			blocked = append(blocked, within)
			continue
		}
		if len(rest.tasks) > 0 {
			beyond = append(beyond, rest)
		}
	}
	if len(beyond) > 0 {
		s.reserveForShares(blocked, r)
	}
	for _, d := range beyond {
		if s.startsLeft <= 0 {
			return
		}
		s.placeNext(d, r)
	}
}

// splitByShare splits a demand into the tasks that may start within the fair share of their tenant and
// the others. A gang is not split.
func (s *Scheduler) splitByShare(d demand) (within, rest demand) {
	step := &d.occurrence.job.spec.Steps[d.step]
	n := s.sharer.StartsWithin(d.tenant(), step.Size(), len(d.tasks))
	if step.Gang && n > 0 {
		n = len(d.tasks)
	}
	within, rest = d, d
	within.tasks, rest.tasks = d.tasks[:n:n], d.tasks[n:]
	return within, rest
}

// reserveForShares reserves workers for the tasks of tenants within their fair shares that have found
// no room for shareReserveDelay. Else smaller tasks of tenants beyond theirs could take all room as it
// comes back.
func (s *Scheduler) reserveForShares(blocked []demand, r *placementRound) {
	reserved := map[string]int{}
	for _, d := range blocked {
		spec, tenant := &d.occurrence.job.spec, d.tenant()
		size := spec.Steps[d.step].Size()
		if tenant == "" || r.now-d.tasks[0].waitingSince < shareReserveDelay || spec.Steps[d.step].Filler || spec.Steps[d.step].Rack != "" ||
			!r.unplaced.covers(spec, d.step) || !s.sharer.Admits(tenant, size) {
			continue
		}
		n := s.sharer.StartsWithin(tenant, size, reserved[tenant]+len(d.tasks)) - reserved[tenant]
		if n <= 0 {
			continue
		}
		reserved[tenant] += n
		s.reserveAgain(d.tasks[:n], r)
	}
}

// reserveAgain reserves workers for tasks, those first that the last round has reserved, so that the
// room that has come back there is not given away.
func (s *Scheduler) reserveAgain(ts []*task, r *placementRound) {
	var kept, others []*worker
	for _, w := range r.unreserved {
		if w.reservedIn == s.round-1 {
			kept = append(kept, w)
		} else {
			others = append(others, w)
		}
	}
	if n := len(kept) - len(s.reserve(ts, kept)); n < len(ts) {
		s.reserve(ts[n:], others)
	}
	r.unreserved = slices.DeleteFunc(slices.Clone(r.unreserved), func(w *worker) bool { return w.reservedIn == s.round })
}

// keptPenalty lowers the score of a worker that the last round has reserved, so that tasks of tenants
// within their fair shares, which may start there, go elsewhere if they can.
func (s *Scheduler) keptPenalty(w *worker) float64 {
	if s.sharesRoom() && w.reservedIn > 0 && w.reservedIn >= s.round-1 {
		return keptWorkerPenalty
	}
	return 0
}

// tenant returns the tenant of a demand, empty if it has none.
func (d *demand) tenant() string { return d.occurrence.job.spec.Tenant }

// BeyondShare reports whether a tenant holds more than its fair share.
func (s *Scheduler) BeyondShare(tenant string) bool { return s.sharer.Share(tenant) > 1 }

// WaitingAhead returns the tasks that the leader has to start before those of a new job: those of jobs
// of its priority and more urgent ones. If its tenant is not beyond what it may ask for, those of tenants
// that are don't count. Jobs without a tenant count as within.
func (s *Scheduler) WaitingAhead(spec *Spec, beyond func(tenant string) bool) []regulator.Arrival {
	if !s.sharesRoom() || beyond(spec.Tenant) {
		return s.waitingOf(func(j *job) bool { return j.spec.Queue.Priority <= spec.Queue.Priority })
	}
	isBeyond := map[string]bool{}
	for _, t := range s.tenants {
		isBeyond[t.Name] = beyond(t.Name)
	}
	return s.waitingOf(func(j *job) bool {
		return j.spec.Queue.Priority <= spec.Queue.Priority && !isBeyond[j.spec.Tenant]
	})
}

// EachAccepted calls f with the tenant, the ID and the age of each known job of a tenant that was
// accepted up to the given time ago.
func (s *Scheduler) EachAccepted(within clock.Millis, f func(tenant, id string, age clock.Millis)) {
	for id, j := range s.jobs {
		if age := s.ageOf(j); j.spec.Tenant != "" && !j.unsubmitted && age <= within {
			f(j.spec.Tenant, id, age)
		}
	}
}
