package conductor_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// site is a deployment in which daemons are killed and started again, and workers leave for good.
	// It runs one job, whose tasks last.
	site struct {
		t           *testing.T
		log         *imitator.KeyedLog
		pool        *imitator.Pool
		random      *lockedRand
		disruptions imitator.Disruptions
		// conductor is that of the first term.
		conductor *conductor.Conductor
		processes map[string]*process
		starts    int
		group     sync.WaitGroup
		done      chan struct{}
		// losing is whether answers of the store are lost, late whether orders are carried out late.
		losing, late atomic.Bool
		// losingEpoch is whether the answer to the next append of a new leader is lost.
		losingEpoch atomic.Bool
		// claimless is the host that reaches the topic of claims no more.
		claimless atomic.Value
		// lateAppends is whether half of the lost answers are those of appends that are stored late.
		lateAppends atomic.Bool
		// latePolls is whether polls may be carried out seconds late, without an answer.
		latePolls atomic.Bool
		// withoutReset is whether connections to workers that leave stay open.
		withoutReset atomic.Bool
		mu           sync.Mutex
		// left has the workers that have left, and whether their addresses refuse connections.
		left map[string]bool
		// reachedBy has the only process that reaches a worker, if the network is split. That
		// process reaches no other workers.
		reachedBy map[string]*process
		// unregistered has the workers that don't reach the registry.
		unregistered map[string]bool
	}

	// process is one process of a daemon.
	process struct {
		*daemon
		// dead is whether it was killed, cutOff whether it does not reach the store.
		dead, cutOff atomic.Bool
	}
)

const (
	siteDaemons = 3
	siteWorkers = 12
	siteTasks   = 16
	// shortRunTime is how long the tasks of other jobs than lastingJob run.
	shortRunTime = 700 * clock.Millis(1)
	lastingJob   = "00000000000000aa"
	// siteHeartbeat is the interval at which workers write their registry entries. An entry is
	// removed after three of silence.
	siteHeartbeat = 500 * clock.Millis(1)
	// maxClockSlowness bounds how much slower a worker's clock runs, in thousandths; from the
	// platform's description of its workers.
	maxClockSlowness = 20
	// maxClockOffset bounds the difference between the monotonic clocks of two processes.
	maxClockOffset = clock.Hour
)

// newSite starts a deployment and waits until all tasks run.
func newSite(t *testing.T, seed uint64, prepare ...func(*imitator.Pool)) *site {
	s := &site{
		t: t, random: &lockedRand{random: rand.New(rand.NewPCG(seed, 1))}, processes: map[string]*process{}, done: make(chan struct{}),
		left: map[string]bool{}, reachedBy: map[string]*process{}, unregistered: map[string]bool{},
	}
	s.log = imitator.NewKeyedLog(4, func(client, call, topic string) imitator.StoreFault {
		if topic == "leader" && client == s.claimless.Load() {
			return imitator.StoreSilent
		}
		if call == "append" && topic == "jobs" && s.losingEpoch.CompareAndSwap(true, false) {
			s.disruptions.Begin()()
			return imitator.StoreLosesAnswer
		}
		if call == "append" && s.losing.Load() && s.random.intN(3) == 0 {
			if s.lateAppends.Load() && s.random.intN(2) == 0 {
				return imitator.StoreLate
			}
			return imitator.StoreLosesAnswer
		}
		return imitator.StoreFine
	})
	s.pool = imitator.NewPool(siteWorkers, 4, runTimeOfSite, func(scheduler.Order) imitator.OrderFault {
		if s.late.Load() && s.random.intN(2) == 0 {
			return imitator.OrderLate
		}
		return imitator.OrderFine
	})
	for i := range siteWorkers {
		s.pool.SetClockRate(fmt.Sprintf("w%d", i), 1-float64(s.random.intN(maxClockSlowness+1))/1000)
	}
	for _, f := range prepare {
		f(s.pool)
	}
	s.pool.Register(s.log)
	s.group.Go(s.writeEntries)
	t.Cleanup(s.close)
	for i := range siteDaemons {
		s.start(fmt.Sprintf("h%d", i))
	}
	c := awaitLeader(s.daemons()...)
	s.conductor = c
	must.NoError(t, c.Submit(t.Context(), scheduler.Spec{
		ID: lastingJob, Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2},
		Steps: []scheduler.Step{{Count: siteTasks, CPU: 1000, LongRunning: true}},
	}))
	s.sleep(2000, 4000)
	must.Eq(t, siteTasks, s.pool.Starts())
	return s
}

// runTimeOfSite returns how long a run takes, and how it ends.
func runTimeOfSite(n scheduler.TaskName, _ int) (clock.Millis, scheduler.Ending) {
	if n.Job == lastingJob || isEndless(n) {
		return clock.Hour, scheduler.EndDone
	}
	return shortRunTime, scheduler.EndDone
}

// sleep waits for a random time within bounds, in ms.
func (s *site) sleep(least, most int) {
	time.Sleep(time.Duration(least+s.random.intN(most-least+1)) * time.Millisecond)
}

// writeEntries writes the registry entries of the workers that are up, at each heartbeat.
func (s *site) writeEntries() {
	for {
		for _, id := range s.pool.IDs() {
			info, up := s.pool.Info(id)
			s.mu.Lock()
			up = up && !s.unregistered[info.ID]
			s.mu.Unlock()
			if up {
				s.log.Put("servers", imitator.EncodeEntry(info))
			}
		}
		select {
		case <-time.After(siteHeartbeat.Duration()):
		case <-s.done:
			return
		}
	}
}

// start starts a process of a host.
func (s *site) start(host string) {
	s.disruptions.Begin()()
	s.starts++
	p := &process{}
	offset := clock.Millis(s.random.intN(int(maxClockOffset)))
	now := func() clock.Millis { return clock.System() + offset }
	p.daemon = startProcess(host, fmt.Sprintf("%s-%d", host, s.starts), now, p.store(s.log.Client(host)), s.fleet(p), nil)
	s.processes[host] = p
}

// kill ends the process of a host, which does not resign.
func (s *site) kill(host string) {
	s.disruptions.Begin()()
	p := s.processes[host]
	delete(s.processes, host)
	p.dead.Store(true)
	s.group.Go(p.elector.Close)
}

// killAll ends the processes of all hosts and returns these.
func (s *site) killAll() []string {
	var hosts []string
	for h := range s.processes {
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		s.kill(h)
	}
	return hosts
}

// outage starts hosts 9.5 s after they were killed. Workers leave at a random time within bounds, in ms,
// after that.
func (s *site) outage(hosts []string, least, most int) {
	restart := time.After(9500 * time.Millisecond)
	s.sleep(least, most)
	s.leave()
	<-restart
	for _, h := range hosts {
		s.start(h)
	}
}

// leader waits until a host leads, and returns it.
func (s *site) leader() string {
	for {
		for h, p := range s.processes {
			if _, here := p.elector.Leader(); here {
				return h
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// takeover kills the leader, waits until another host leads, and returns the former leader.
func (s *site) takeover() string {
	h := s.leader()
	s.kill(h)
	s.leader()
	return h
}

func (s *site) daemons() []*daemon {
	var ds []*daemon
	for _, p := range s.processes {
		ds = append(ds, p.daemon)
	}
	return ds
}

// check reports each violation: a task that ran twice at once, or one that was without a run for
// too long.
func (s *site) check() {
	s.t.Helper()
	must.SliceEmpty(s.t, s.pool.Violations(), must.Sprint(s.pool.Violations()))
	gaps := s.pool.Gaps(lastingJob)
	must.SliceNotEmpty(s.t, gaps, must.Sprint("no task has lost its run"))
	longest, late := gaps[0], 0
	for _, g := range gaps {
		if g.Length() > longest.Length() {
			longest = g
		}
		if s.disruptions.Exceeded(g) {
			late++
		}
	}
	s.t.Logf("%d gaps, the longest: %s, limit %d ms", len(gaps), longest, s.disruptions.Limit(longest.From())-longest.From())
	if late > 0 {
		s.t.Errorf("%d of %d gaps were too long, the longest: %s, limit %d ms", late, len(gaps), longest, s.disruptions.Limit(longest.From())-longest.From())
	}
}

func (s *site) close() {
	close(s.done)
	for h := range s.processes {
		s.kill(h)
	}
	s.group.Wait()
}
