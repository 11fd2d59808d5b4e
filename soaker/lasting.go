package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

const (
	// lastingTasks is the number of tasks that last, a quarter of what the workers have room for
	// once leavingWorkers have left.
	lastingTasks   = 6
	leavingWorkers = 2
	// On average, one run of a task that lasts in lastingFailOneIn fails, after minLastingMillis
	// to maxLastingMillis.
	lastingFailOneIn                   = 4
	minLastingMillis, maxLastingMillis = 1000, 15_000
	// maxTakeovers is the largest number of takeovers in series, minTakeoverGap and maxTakeoverGap
	// bound the time between two. A lease lasts longer than most of these.
	maxTakeovers                   = 3
	minTakeoverGap, maxTakeoverGap = 3 * clock.Second, 8 * clock.Second
	// longDown is how long the former leader stays down if another host is to lead: twice the
	// time after which one claims.
	longDown = 3 * clock.Second
	// leaveDelay bounds the time from the first takeover of a series until workers leave.
	leaveDelay = 2 * clock.Second
	// excessTime is how long a task is waited for that is without a run for too long, so that the
	// message can tell for how long.
	excessTime = 15 * clock.Second
	// lastingStream and closingStream are streams of random numbers of their own, so that the
	// other faults of a seed do not depend on them.
	lastingStream, closingStream = 0x1a57, 0xc105
)

// lastingRunTimes returns the run times of tasks that last, and how they end.
func lastingRunTimes(seed uint64) func() (clock.Millis, scheduler.Ending) {
	r := rand.New(rand.NewPCG(seed, lastingStream))
	return func() (clock.Millis, scheduler.Ending) {
		if r.IntN(lastingFailOneIn) == 0 {
			return clock.Millis(minLastingMillis + r.IntN(maxLastingMillis-minLastingMillis)), scheduler.EndFailed
		}
		return clock.Hour, scheduler.EndDone
	}
}

// lastingID returns the job whose tasks last.
func (k *Soak) lastingID() string { return fmt.Sprintf("%016x", k.settings.Seed) }

// submitLasting submits the job whose tasks last, and reports whether it was accepted in time.
func (k *Soak) submitLasting() bool {
	body, err := json.Marshal(map[string]any{"spec": "lasting", "phases": []map[string]any{{"count": lastingTasks, "cpu": 1000, "long_running": true}}})
	if err != nil {
		return false
	}
	for deadline := time.Now().Add(startTimeout.Duration()); time.Now().Before(deadline); time.Sleep(retryDelay.Duration()) {
		if k.callers.call(http.MethodPost, k.lastingID(), body, nil) == http.StatusOK {
			for i := range lastingTasks {
				k.pool.ExpectRun(scheduler.TaskName{Job: k.lastingID(), Index: i}.String())
			}
			return true
		}
	}
	return false
}

// closingFaults injects the last faults, one after the other: takeovers in series, and workers that
// leave for good soon after the first.
func (k *Soak) closingFaults(inject func(fault)) {
	r := rand.New(rand.NewPCG(k.settings.Seed, closingStream))
	for i := range 1 + r.IntN(maxTakeovers) {
		if i > 0 {
			time.Sleep((minTakeoverGap + clock.Millis(r.Int64N(int64(maxTakeoverGap-minTakeoverGap)))).Duration())
		}
		down := restartDelay
		if r.IntN(2) == 0 {
			down = longDown
		}
		inject(k.killLeader(down))
		if i == 0 {
			time.Sleep(clock.Millis(r.Int64N(int64(leaveDelay))).Duration())
			inject(k.leave(r))
		}
	}
}

// killLeader returns a fault that ends the process of the leader, which is started again after it was
// down for a while.
func (k *Soak) killLeader(down clock.Millis) fault {
	leader := k.hosts[0]
	if claims := k.log.Items("leader"); len(claims) > 0 {
		if c, err := elector.Decode(claims[len(claims)-1].Value); err == nil {
			for _, h := range k.hosts {
				if h.name == c.Host {
					leader = h
				}
			}
		}
	}
	return fault{fmt.Sprintf("kill the leader %s, down for %d ms", leader.name, down), func() {
		leader.setDown(down)
		leader.signal(syscall.SIGKILL)
	}}
}

// leave returns a fault by which workers with tasks that last leave for good. Connections to them are
// refused, or what is sent to them is lost.
func (k *Soak) leave(r *rand.Rand) fault {
	hosting := k.pool.WorkersOf(k.lastingID())
	r.Shuffle(len(hosting), func(i, j int) { hosting[i], hosting[j] = hosting[j], hosting[i] })
	hosting = hosting[:min(leavingWorkers, len(hosting))]
	refused := r.IntN(2) == 0
	return fault{fmt.Sprintf("%v leave for good, connections refused: %v", hosting, refused), func() {
		for _, w := range k.workers {
			for _, id := range hosting {
				if id == w.id {
					w.leave(refused)
					time.AfterFunc((3 * heartbeatInterval).Duration(), func() { k.log.Put("servers", recorder.Item{Key: id}) })
				}
			}
		}
	}}
}

// longGaps waits until each task that lasts runs again or has been without a run for far too long. It
// returns all gaps, and a message for each that was too long.
func (k *Soak) longGaps() (all []imitator.Gap, violations []string) {
	for waiting := true; waiting; time.Sleep(retryDelay.Duration()) {
		waiting = false
		for _, g := range k.pool.Gaps(k.lastingID()) {
			waiting = waiting || g.Open() && clock.System() < k.disruptions.Limit(g.From()).Add(excessTime)
		}
	}
	all = k.pool.Gaps(k.lastingID())
	for _, g := range all {
		if k.disruptions.Exceeded(g) {
			violations = append(violations, fmt.Sprintf("%s; %d ms are allowed", g, k.disruptions.Limit(g.From())-g.From()))
		}
	}
	return all, violations
}
