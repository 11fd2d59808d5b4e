package conductor_test

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/imitator"
)

// fuzzSteps is the number of random disruptions in a play.
const fuzzSteps = 14

// fuzzSeeds returns the number of seeds, from the environment if it is set there.
func fuzzSeeds() (from, to uint64) {
	from, to = 0, 20
	if v, err := strconv.ParseUint(os.Getenv("SITE_FUZZ_FROM"), 10, 64); err == nil {
		from, to = v, v+20
	}
	if v, err := strconv.ParseUint(os.Getenv("SITE_FUZZ_SEEDS"), 10, 64); err == nil {
		to = from + v
	}
	return from, to
}

// TestNoTaskRunsTwiceUnderRandomTakeovers guards against a wait for leases that is too short, over
// random series of takeovers, leaders without the store, splits, outages, restarted workers and late calls.
func TestNoTaskRunsTwiceUnderRandomTakeovers(t *testing.T) {
	from, to := fuzzSeeds()
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, seed, func(p *imitator.Pool) {
					p.BindOrders()
					for i := range siteWorkers {
						p.SetClockRate(fmt.Sprintf("w%d", i), 1+0.02*math.Sin(float64(seed)+float64(i)))
					}
				})
				s.latePolls.Store(seed%2 == 0)
				s.lateAppends.Store(seed%3 == 0)
				for range fuzzSteps {
					s.disturb()
				}
				time.Sleep(settleTime)
				must.SliceEmpty(t, s.pool.Violations(), must.Sprint(s.pool.Violations()))
			})
		})
	}
}

// disturb does something at random and waits for a short time.
func (s *site) disturb() {
	switch s.random.intN(10) {
	case 0:
		if len(s.processes) > 1 {
			h := s.leader()
			s.kill(h)
			s.sleep(0, 1500)
			s.start(h)
		}
	case 1:
		s.processes[s.leader()].cutOff.Store(true)
	case 2:
		h := s.leader()
		s.processes[h].cutOff.Store(true)
		s.split(h, s.random.intN(2) == 0)
	case 3:
		s.mu.Lock()
		clear(s.reachedBy)
		clear(s.unregistered)
		s.mu.Unlock()
		for h, p := range s.processes {
			if p.cutOff.Load() {
				if s.random.intN(2) == 0 {
					p.cutOff.Store(false)
					continue
				}
				s.kill(h)
				s.start(h)
			}
		}
	case 4:
		hosts := s.killAll()
		s.sleep(0, 8000)
		for _, h := range hosts {
			s.start(h)
		}
	case 5:
		s.losing.Store(true)
	case 6:
		s.losing.Store(false)
	case 7:
		id := s.someWorkers()[0]
		s.pool.Restart(id)
		if s.random.intN(2) == 0 {
			s.mu.Lock()
			s.unregistered[id] = true
			s.mu.Unlock()
		}
	case 8:
		for _, id := range s.someWorkers() {
			s.pool.SetPartitioned(id, true)
			time.AfterFunc(time.Duration(s.random.intN(9000))*time.Millisecond, func() { s.pool.SetPartitioned(id, false) })
		}
	case 9:
		s.late.Store(!s.late.Load())
	}
	s.sleep(0, 4000)
}
