package conductor_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

const (
	deadlyJobs = 2
	soundJobs  = 6
	// deadlyPrefix begins the IDs of jobs whose first task crashes the workers that start it,
	// soundPrefix those of other jobs.
	deadlyPrefix, soundPrefix = "dead", "5000"
	// deadlyTime is how long faults are injected, several times what a worker takes to come back.
	deadlyTime = 24 * time.Second
)

func deadlyID(i int, p *scheduler.Step) string { return deadlyPrefix + jobSuffix(i, p) }

func soundID(i int, p *scheduler.Step) string { return soundPrefix + jobSuffix(i, p) }

// jobSuffix returns the end of the ID of a job. It begins with "e" if the tasks of its step run on
// and on: those that last, and gangs, which end together.
func jobSuffix(i int, p *scheduler.Step) string {
	kind := "f"
	if p.LongRunning || p.Gang {
		kind = "e"
	}
	return fmt.Sprintf("%s%011x", kind, i)
}

func isEndless(n scheduler.TaskName) bool {
	return strings.HasPrefix(n.Job, deadlyPrefix+"e") || strings.HasPrefix(n.Job, soundPrefix+"e")
}

func isDeadly(n scheduler.TaskName) bool {
	return strings.HasPrefix(n.Job, deadlyPrefix) && n.Index == 0
}

// leading returns the conductor of the daemon that leads.
func (s *site) leading() *conductor.Conductor {
	p := s.processes[s.leader()]
	for {
		select {
		case s.conductor = <-p.leading:
		default:
			return s.conductor
		}
	}
}

// submitDeadly submits jobs of which some have a deadly task.
func (s *site) submitDeadly(prepare func(*scheduler.Step)) {
	step := scheduler.Step{Count: 3, CPU: 1000, Memory: 100}
	prepare(&step)
	submit := func(id string) {
		must.NoError(s.t, s.conductor.Submit(s.t.Context(), scheduler.Spec{
			ID: id, Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2}, Steps: []scheduler.Step{step},
		}))
	}
	for i := range soundJobs {
		if i < deadlyJobs {
			submit(deadlyID(i, &step))
		}
		submit(soundID(i, &step))
	}
}

// killLeaders kills the leader every four seconds. A new one is elected within two.
func (s *site) killLeaders() {
	for end := time.Now().Add(deadlyTime); time.Now().Before(end); {
		s.sleep(3800, 4200)
		h := s.leader()
		s.kill(h)
		s.sleep(500, 1000)
		s.start(h)
	}
}

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that is started again each time that it
// has crashed its worker, and against giving up the tasks beside it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	scenarios := map[string]func(*site){
		"one leader":            func(*site) { time.Sleep(deadlyTime) },
		"leaders are killed":    (*site).killLeaders,
		"orders are late":       func(s *site) { s.delayOrders(func() { time.Sleep(deadlyTime) }) },
		"answers of store lost": func(s *site) { s.loseAnswers(func() { time.Sleep(deadlyTime) }) },
		"late orders, killed leaders": func(s *site) {
			s.delayOrders(s.killLeaders)
		},
	}
	steps := map[string]func(*scheduler.Step){
		"":           func(*scheduler.Step) {},
		" of a gang": func(p *scheduler.Step) { p.Gang = true },
		" that lasts": func(p *scheduler.Step) {
			p.LongRunning = true
		},
	}
	for name, play := range scenarios {
		for kind, prepare := range steps {
			for ids, renamed := range map[string]bool{"same id": false, "other id": true} {
				for seed := range uint64(4) {
					t.Run(fmt.Sprintf("%s%s, %s/%d", name, kind, ids, seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							s := newSite(t, seed, func(p *imitator.Pool) {
								p.BindOrders()
								p.SetDeadly(isDeadly, renamed)
							})
							s.submitDeadly(prepare)
							play(s)
							time.Sleep(settleTime)
							s.checkDeadly(prepare)
						})
					})
				}
			}
		}
	}
}

// checkDeadly checks that the deadly jobs have failed without too many starts, and no other job has.
func (s *site) checkDeadly(prepare func(*scheduler.Step)) {
	s.t.Helper()
	s.t.Logf("crashes: %v", s.pool.Crashes())
	must.SliceEmpty(s.t, s.pool.Violations(), must.Sprint(s.pool.Violations()))
	var step scheduler.Step
	prepare(&step)
	sound := scheduler.Completed
	if step.LongRunning || step.Gang {
		sound = scheduler.Running
	}
	want := map[string]scheduler.Phase{lastingJob: scheduler.Running}
	for i := range deadlyJobs {
		want[deadlyID(i, &step)] = scheduler.Failed
	}
	for i := range soundJobs {
		want[soundID(i, &step)] = sound
	}
	got := map[string]scheduler.Phase{}
	c := s.leading()
	for id := range want {
		p, err := c.Phase(id, "q", "")
		must.NoError(s.t, err, must.Sprint(id))
		got[id] = p
	}
	must.Eq(s.t, want, got)
}
