package scheduler

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// WorkerInfo is a worker's entry in the registry.
	WorkerInfo struct {
		ID         string
		Address    string
		Service    string
		DataCentre string
		Labels     []string
		// Rack is the label that names the worker's rack.
		Rack     string
		CPU      int64
		Memory   int64
		GPU      int64
		Draining bool
		// Remaining is the least time until a draining worker leaves.
		Remaining clock.Millis
		// Born is the Unix time of the worker's start, which identifies its process.
		Born int64
		// Clock is the worker's own clock at the time of the entry.
		Clock clock.Millis
	}

	// worker is one worker process with the runs assigned to it.
	worker struct {
		info WorkerInfo
		// registered is whether the worker is in the registry.
		registered bool
		// heard is whether the process itself has answered in this term, so that its start is
		// known.
		heard bool
		// contradicting is the last entry of the registry that was left out because it contradicts
		// the process, contradictedAt when it was read.
		contradicting  WorkerInfo
		contradictedAt clock.Millis
		// formerHeard is whether a former process with this ID has answered in this term at another
		// address, and may have runs.
		formerHeard bool
		// tasks are the tasks with a run on this worker, in the order in which they were
		// assigned.
		tasks []*task
		// cpu, memory and gpu are the resources reserved for runs. Fillers count in
		// fillerCPU instead of cpu, at their full speed even while they are slowed or
		// paused, as they are to continue soon.
		cpu, memory, gpu int64
		fillerCPU        int64
		// serving is the number of tasks with a latency objective, servingCPU the CPU
		// reserved for them.
		serving    int
		servingCPU int64
		// unreconciled is set while the worker may have runs that were assigned by a
		// former leader or to its former process. A report, or the expiry of its lease,
		// resets it.
		unreconciled bool
		// leaseExpired is set when the lease has expired without contact.
		leaseExpired bool
		// silentSince is when calls began to fail; 0 while they succeed.
		silentSince clock.Millis
		// unheard is whether a call since the last answer had none while the daemon was delayed,
		// which says nothing of the worker. Its lease is not extended until it is heard.
		unheard bool
		// failedCallAt is when a call last failed.
		failedCallAt clock.Millis
		// connRefused is whether the last call found nothing listening at the worker's
		// address.
		connRefused bool
		// leaseEnd is the time by which the leases that this leader has granted have ended
		// unless they are extended, inherited the same for those of former leaders.
		leaseEnd  clock.Millis
		inherited inheritedLease
		// reportClock is what the worker's clock showed in its last report of this term, which
		// was requested at reportSentAt, 0 if there was none.
		reportClock, reportSentAt clock.Millis
		// lastEnd is the highest number of an ended run that was reported, storedEnd the
		// highest one whose result is stored.
		lastEnd, storedEnd int64
		// allEndsSeen is whether the process started in this term, so that all of its ended
		// runs are reported in it, and a gap in their numbers is an error.
		allEndsSeen bool
		// failures is the failure score: it grows with each failed run and shrinks with
		// each completed one.
		failures float64
		// failedAt is when a run last failed or stalled.
		failedAt clock.Millis
		// probedAt is when a quarantined worker last got a run, its probe run. probe is the
		// task of that run, nil once it is over or has made progress for quarantineTime.
		probedAt clock.Millis
		probe    *task
		// trial is the last suspect that had the worker for itself, or is to get it; see
		// isOnTrial.
		trial *task
		// availableIn and reservedIn are the last rounds of placing in which the worker could
		// get a new run, and in which it was reserved for a task.
		availableIn, reservedIn int
		// reserved are the resources of that task, leaving those of the runs that are forecast to
		// end before it starts.
		reserved, leaving resourceSize
		// reservedFor is the step of the long-running task for which the worker was last reserved,
		// reservedSince since when it has been in each round.
		reservedFor   waitGroup
		reservedSince clock.Millis
		// reservation is kept for a task that ends by itself; nil if there is none, or the worker
		// is reserved for a long-running task.
		reservation *reservation
		// emptiedRoom caches the result of emptied in the round emptiedIn.
		emptiedRoom sizer.Size
		emptiedIn   int
		// blockedUntil is the end of the backoff after a refused or failed start.
		blockedUntil clock.Millis
		// clockReading is a reading of the worker's clock that was received at clockReadAt;
		// clockReadAt is 0 if there was none.
		clockReading clock.Millis
		clockReadAt  clock.Millis
		// pacedAt is when the paces of the worker's fillers were last adjusted.
		pacedAt clock.Millis
		// groups caches the result of servingGroups, overObjective whether a serving task
		// violates its objective. Both are valid while groupsValid is set.
		groups        []servingGroup
		groupsValid   bool
		overObjective bool
		// fillerLeftAt is when a filler last left.
		fillerLeftAt clock.Millis
		// upkeepDue is whether the worker's machine is to go down for its upkeep.
		// upkeepStarted is whether it is being drained or is down, so that nothing may
		// start here.
		upkeepDue, upkeepStarted bool
		// doubtful are the runs that were abandoned when the lease expired, although an
		// order to start them may still be carried out. The worker gets no new lease and no
		// new runs until it has confirmed that they are stopped.
		doubtful []doubtfulRun
		// stale are the runs of tenants that the worker may have although they are not the newest of
		// their tasks.
		stale []*staleRun
		// sharer counts what tenants hold here.
		sharer *sharer.Sharer
		// absences is the number of machine lists in a row that lack the worker since it
		// seems to have left.
		absences int
		// ackedEnd is the highest number of an ended run whose acknowledgement has
		// reached the worker.
		ackedEnd int64
	}
)

const (
	// expectedServingUse is the mean processor use of serving tasks as a share of their
	// reserved CPU; in the customers' specification their load oscillates around 0.42.
	expectedServingUse = 0.45
	// entryClockMargin is by how much the clock of an entry may be ahead of that of the worker's last
	// report: clocks are rounded to milliseconds, and that of this host may be slow.
	entryClockMargin = clock.Second
	// maxFillerLoad bounds the expected load of a worker with fillers, as a share of its
	// processors. Above it the tail latency of the serving tasks rises steeply.
	maxFillerLoad = 0.95
)

func (w *worker) hasLabel(l string) bool { return l == "" || slices.Contains(w.info.Labels, l) }

// leastClock returns the least time that the worker's clock can show at now.
func (w *worker) leastClock(now clock.Millis) clock.Millis {
	if w.clockReadAt == 0 {
		return 0
	}
	return w.clockReading + clock.Millis(float64(now-w.clockReadAt)*(1-maxClockDrift))
}

// leaseBound returns the time by which all runs on the worker have ended unless its lease is
// extended.
func (w *worker) leaseBound() clock.Millis { return max(w.leaseEnd, w.inherited.end) }

func (w *worker) addTask(t *task) {
	if slices.Contains(w.tasks, t) {
		return
	}
	w.tasks = append(w.tasks, t)
	t.occurrence.runs[t.step]++
	if t.isSuspect() {
		w.trial = t
	}
	w.groupsValid = false
	w.reserveResources(t, 1)
}

func (w *worker) removeTask(t *task) {
	i := slices.Index(w.tasks, t)
	if i < 0 {
		return
	}
	w.tasks = slices.Delete(w.tasks, i, i+1)
	if w.probe == t {
		w.probe = nil
	}
	t.occurrence.runs[t.step]--
	w.groupsValid = false
	w.reserveResources(t, -1)
}

func (w *worker) reserveResources(t *task, sign int64) {
	s := t.spec()
	w.memory += sign * s.Memory
	w.gpu += sign * s.GPU
	if s.Filler {
		w.fillerCPU += sign * s.CPU
	} else {
		w.cpu += sign * s.CPU
	}
	if s.Objective > 0 {
		w.serving += int(sign)
		w.servingCPU += sign * s.CPU
	}
	switch tenant := t.job().spec.Tenant; {
	case tenant == "":
	case sign > 0:
		w.sharer.Hold(tenant, s.Size())
	default:
		w.sharer.Release(tenant, s.Size())
	}
}

// fits reports whether the worker has room for a task of step s. One filler fits
// regardless of its CPU.
func (w *worker) fits(s *Step) bool {
	if w.memory+s.Memory > w.info.Memory || w.gpu+s.GPU > w.info.GPU {
		return false
	}
	if s.Filler {
		return w.fillerCPU == 0 || float64(w.expectedCPU()+s.CPU) <= maxFillerLoad*float64(w.info.CPU)
	}
	return w.cpu+s.CPU <= w.info.CPU
}

// reserveFor reserves the worker for a long-running task in a round of placing.
func (w *worker) reserveFor(t *task, round int, now clock.Millis) {
	g := waitGroup{occurrence: t.occurrence, step: t.step}
	if w.reservedFor != g || w.reservedIn < round-1 {
		w.reservedFor, w.reservedSince = g, now
	}
	w.reservedIn, w.reserved, w.leaving = round, t.spec().held(), resourceSize{}
}

// isOlderThan reports whether an entry was written before another one of the same process. A clock
// that is further behind than a write can be late shows that the other one was false.
func (i WorkerInfo) isOlderThan(o WorkerInfo) bool {
	return i.Born != 0 && i.Born == o.Born && i.Clock < o.Clock && o.Clock-i.Clock <= maxOrderDelay
}

// hasLessRoomThan reports whether the known capacity of a worker is below that of a newer entry.
func (w *worker) hasLessRoomThan(i WorkerInfo) bool {
	return w.info.CPU < i.CPU || w.info.Memory < i.Memory || w.info.GPU < i.GPU
}

// isOverCapacity reports whether a worker has less room than is reserved there, of the kinds that a
// task of step s reserves.
func (w *worker) isOverCapacity(s *Step) bool {
	return w.memory > w.info.Memory || w.gpu > w.info.GPU || !s.Filler && w.cpu > w.info.CPU
}

// fitsBesideReserved reports whether a reserved worker keeps the reserved room beside a task of step
// s. The CPU of fillers is not reserved. Beside a reservation for a long-running task there is no CPU
// for others.
func (w *worker) fitsBesideReserved(s *Step) bool {
	need := w.reserved.plus(s.held())
	return (s.Filler || w.reservation != nil && w.cpu-w.leaving.cpu+need.cpu <= w.info.CPU) &&
		w.memory-w.leaving.memory+need.memory <= w.info.Memory && w.gpu-w.leaving.gpu+need.gpu <= w.info.GPU
}

// shortageOf returns the room that the worker lacks for a long-running task of step s, as a share of
// its own. The second result is whether the tasks that end by themselves use that much.
func (w *worker) shortageOf(s *Step) (float64, bool) {
	cpu, memory, gpu := w.info.CPU, w.info.Memory, w.info.GPU
	for _, t := range w.tasks {
		if o := t.spec(); o.LongRunning {
			memory, gpu = memory-o.Memory, gpu-o.GPU
			if !o.Filler {
				cpu -= o.CPU
			}
		}
	}
	share := func(lacking, total int64) float64 { return float64(max(lacking, 0)) / float64(max(total, 1)) }
	return max(share(w.cpu+s.CPU-w.info.CPU, w.info.CPU), share(w.memory+s.Memory-w.info.Memory, w.info.Memory), share(w.gpu+s.GPU-w.info.GPU, w.info.GPU)),
		s.CPU <= cpu && s.Memory <= memory && s.GPU <= gpu
}

// isProbing reports whether a quarantined worker has its probe run, so that it gets no other.
func (w *worker) isProbing() bool {
	return w.failures >= quarantineScore && w.probe != nil && w.probedAt >= w.failedAt
}

// expectedCPU returns the expected processor use of the worker's tasks, in thousandths of
// a core.
func (w *worker) expectedCPU() int64 {
	return w.cpu - w.servingCPU + int64(expectedServingUse*float64(w.servingCPU)) + w.fillerCPU
}
