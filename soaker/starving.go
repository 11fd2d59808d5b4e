package soaker

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"galenawharf.example/galenawharf/clock"
)

const (
	// A starved host runs for at most maxRunTime and is stopped for minStopTime to maxStopTime
	// by turns, which leaves it about a tenth of its processor time.
	maxRunTime  = 20 * clock.Millis(1)
	minStopTime = 40 * clock.Millis(1)
	maxStopTime = 160 * clock.Millis(1)
	// minStarvation and maxStarvation bound how long a host is starved, which may be longer than
	// a lease. maxPlenty is the longest time between two starvations.
	minStarvation = clock.Second
	maxStarvation = 8 * clock.Second
	maxPlenty     = 4 * clock.Second
	// starvingStream is the stream of random numbers of starvations. It is of its own so that
	// the other faults of a seed do not depend on it.
	starvingStream = 0x57a7
)

// starveHosts starves one host, or all, at random times until the deadline. A host that is suspended
// by another fault goes on at the next turn.
func (k *Soak) starveHosts(deadline time.Time, inject func(fault)) {
	r := rand.New(rand.NewPCG(k.settings.Seed, starvingStream))
	between := func(a, b clock.Millis) clock.Millis { return a + clock.Millis(r.Int64N(int64(b-a)+1)) }
	for {
		time.Sleep(between(0, maxPlenty).Duration())
		if !time.Now().Before(deadline) {
			return
		}
		hosts, name := k.hosts, "all hosts"
		if r.IntN(3) > 0 {
			i := r.IntN(len(k.hosts))
			hosts, name = k.hosts[i:i+1], k.hosts[i].name
		}
		d := between(minStarvation, maxStarvation)
		inject(fault{fmt.Sprintf("starve %s for %d ms", name, d), func() {
			for end := time.Now().Add(d.Duration()); time.Now().Before(end); {
				signalAll(hosts, syscall.SIGSTOP)
				time.Sleep(between(minStopTime, maxStopTime).Duration())
				signalAll(hosts, syscall.SIGCONT)
				time.Sleep(between(1, maxRunTime).Duration())
			}
		}})
	}
}

func signalAll(hosts []*host, s syscall.Signal) {
	for _, h := range hosts {
		h.signal(s)
	}
}
