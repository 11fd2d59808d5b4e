package checker_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
)

// TestTakeoverToStartDelay bounds the time from the death of all owners to the next
// start of waiting work: a renewal interval and the claim TTL, and 4 s for clock drift,
// the stagger of claims and round trips to the log and the workers.
func TestTakeoverToStartDelay(t *testing.T) {
	const bound = claimer.DefaultRenewInterval + claimer.DefaultClaimTTL + 4*clock.Second
	var delays []clock.Millis
	for seed := range uint64(20) {
		f := newFleet(seed, defectNone)
		f.declareConfig(t)
		f.run(10 * clock.Second)
		for _, n := range f.nodes {
			if f.owns(n) {
				n.dead = true
			}
		}
		died := f.now.Now()
		f.submit()
		before := f.starts()
		for f.starts() == before {
			f.run(tick)
			must.LessEq(t, died+bound, f.now.Now())
		}
		delays = append(delays, f.now.Now()-died)
		must.Eq(t, "", f.violations())
	}
	slices.Sort(delays)
	t.Logf("median %d ms, worst of %d %d ms, bound %d ms", delays[len(delays)/2], len(delays), delays[len(delays)-1], bound)
}

// TestLogOutage guards against a log outage that stops running work or loses waiting
// work. Both data centres keep their owners during the outage, and as much work ends as
// in a run without it.
func TestLogOutage(t *testing.T) {
	const outage = 10 * clock.Minute
	ends := map[bool]int{}
	for _, down := range []bool{false, true} {
		f := newFleet(3, defectNone)
		f.declareConfig(t)
		for range 4 {
			f.submit()
		}
		f.run(10 * clock.Second)
		must.Positive(t, f.starts())
		f.log.SetFaults(imitator.LogFaults{Down: down})
		f.run(outage)
		if down {
			must.Eq(t, 2, f.owners())
		}
		f.log.SetFaults(imitator.LogFaults{})
		f.submit()
		f.clearFaults()
		must.Eq(t, "", f.violations())
		must.Eq(t, "", f.unfinished())
		ends[down] = len(f.answered)
	}
	must.Eq(t, ends[false], ends[true])
	t.Logf("%d units of work ended with and without an outage of %d s", ends[true], outage/clock.Second)
}

func (f *fleet) owners() int {
	owners := 0
	for _, n := range f.nodes {
		if f.owns(n) {
			owners++
		}
	}
	return owners
}

// starts returns the number of runs that have started on all workers.
func (f *fleet) starts() int {
	starts := 0
	for _, w := range f.workers {
		starts += len(w.Starts())
	}
	return starts
}
