package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	lastingSeeds = 10
	// settleTime is longer than any limit for a task that lasts, after the last disruption.
	settleTime = 25 * time.Second
)

// playLasting plays a scenario with several seeds and checks that the tasks that last run again
// in time, and never twice at once.
func playLasting(t *testing.T, seeds uint64, scenarios map[string]func(*site)) {
	t.Helper()
	for name, play := range scenarios {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(t, seed)
					play(s)
					time.Sleep(settleTime)
					s.check()
				})
			})
		}
	}
}

// TestLastingTaskRestartsUnderOneLeader checks the time without a run if the leader stays.
func TestLastingTaskRestartsUnderOneLeader(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"workers leave": func(s *site) { s.leave() },
		"workers are cut off, and their runs lapse": func(s *site) {
			s.cut(7000, 9000)
		},
		"orders are late, and workers leave": func(s *site) {
			s.delayOrders(func() {
				s.sleep(200, 1000)
				s.leave()
				s.sleep(1000, 4000)
			})
		},
	})
}

// TestLastingTaskRestartsOverTakeovers guards against a takeover that begins the wait for the end
// of a lease anew.
func TestLastingTaskRestartsOverTakeovers(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"workers leave after a takeover": func(s *site) {
			s.takeover()
			s.sleep(200, 2000)
			s.leave()
		},
		"workers leave, then a second takeover": func(s *site) {
			s.takeover()
			s.sleep(1000, 1000)
			s.leave()
			// The second leader is elected 6.7 s after the first, 1.6 s of it without a leader.
			s.sleep(4000, 4200)
			s.takeover()
		},
		"workers leave, then takeovers in series": func(s *site) {
			for i := range 3 {
				h := s.takeover()
				s.sleep(1000, 1000)
				if i == 0 {
					s.leave()
				}
				s.start(h)
				s.sleep(2400, 6400)
			}
		},
		"orders are late": func(s *site) {
			s.delayOrders(func() {
				s.takeover()
				s.sleep(200, 1000)
				s.leave()
				s.sleep(1000, 2000)
			})
		},
	})
}

// TestLastingTaskRestartsOverLostAnswers guards against a wait that begins anew with each answer of
// the store that is lost during a takeover.
func TestLastingTaskRestartsOverLostAnswers(t *testing.T) {
	playLasting(t, 50, map[string]func(*site){
		"workers leave after the election": func(s *site) {
			s.loseAnswers(func() {
				s.takeover()
				s.sleep(200, 1000)
				s.leave()
				s.sleep(1000, 2000)
			})
		},
	})
}

// TestLastingTaskRestartsAfterCutAndTakeover checks that runs which have lapsed on workers that live
// are known to be over as soon as a new leader reaches these.
func TestLastingTaskRestartsAfterCutAndTakeover(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"takeover during the cut": func(s *site) {
			s.group.Go(func() { s.cut(7000, 9000) })
			s.sleep(1000, 8000)
			s.takeover()
		},
	})
}

// TestLastingTaskRestartsAfterOutage guards against leaders that wait for leases that have expired
// while no daemon ran.
func TestLastingTaskRestartsAfterOutage(t *testing.T) {
	outage := func(s *site, hosts []string) { s.outage(hosts, 500, 9000) }
	playLasting(t, lastingSeeds, map[string]func(*site){
		"all daemons come back": func(s *site) { outage(s, s.killAll()) },
		"the former leader stays away": func(s *site) {
			h := s.leader()
			s.kill(h)
			outage(s, s.killAll())
		},
	})
}

// TestLastingTaskRestartsIfWorkersLeaveBeforeStart guards against a wait for workers that have left
// so shortly before the daemons come back that they are still registered.
func TestLastingTaskRestartsIfWorkersLeaveBeforeStart(t *testing.T) {
	outage := func(s *site, hosts []string) { s.outage(hosts, 8050, 9400) }
	playLasting(t, lastingSeeds, map[string]func(*site){
		"all daemons come back": func(s *site) { outage(s, s.killAll()) },
		"the former leader stays away": func(s *site) {
			h := s.leader()
			s.kill(h)
			outage(s, s.killAll())
		},
	})
}

// TestLastingTaskRestartsWithLeaderGone guards against a wait for leases of a leader that ended
// together with workers.
func TestLastingTaskRestartsWithLeaderGone(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"workers leave with the leader": func(s *site) {
			s.leave()
			s.takeover()
		},
	})
}

// TestTakeoverFromCutOffLeader guards against a wait that is too short: a leader that has lost the
// store goes on extending leases of workers that its successor does not reach.
func TestTakeoverFromCutOffLeader(t *testing.T) {
	for name, unregistered := range map[string]bool{"workers are registered": false, "workers lose the registry too": true} {
		for seed := range uint64(lastingSeeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(t, seed)
					s.sleep(0, 1000)
					h := s.leader()
					s.processes[h].cutOff.Store(true)
					s.split(h, unregistered)
					time.Sleep(settleTime)
					must.SliceEmpty(t, s.pool.Violations(), must.Sprint(s.pool.Violations()))
					must.Greater(t, siteTasks, s.pool.Starts(), must.Sprint("no run was started by the successor"))
				})
			})
		}
	}
}
