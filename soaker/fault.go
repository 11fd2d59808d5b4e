package soaker

import (
	"fmt"
	"syscall"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// fault is a random fault. run injects it and returns once it has ended.
type fault struct {
	name string
	run  func()
}

const (
	// maxFaultMillis is the largest random part of a fault's duration. It is long enough that
	// leases expire during some faults.
	maxFaultMillis = 7000
	maxDelayMillis = 400
	// maxDownMillis is the longest time that a worker is down, maxSeriesMillis that from the
	// first to the last restart of a series.
	maxDownMillis   = 1500
	maxSeriesMillis = 1800
	// maxOffsetMillis is the longest time from the end of a network fault to a restart of the
	// same worker.
	maxOffsetMillis = 500
	// minLateFault is the shortest time during which orders are carried out late.
	minLateFault = 2 * clock.Second
)

func (k *Soak) millis(n int) clock.Millis { return clock.Millis(k.random.IntN(n)) }

func (k *Soak) faultDuration() clock.Millis { return 500 + k.millis(maxFaultMillis) }

func (k *Soak) randomWorker() *worker { return k.workers[k.random.IntN(len(k.workers))] }

func (k *Soak) randomLinkFault() linkFault {
	delay := 50 + k.millis(maxDelayMillis)
	return []linkFault{{responses: dropped}, {requests: dropped}, {requests: held}, {refuseConns: true}, {delay: delay}}[k.random.IntN(5)]
}

// kill returns a fault that ends the processes of one host or of all.
func (k *Soak) kill() fault {
	h := k.hosts[k.random.IntN(len(k.hosts))]
	return []fault{
		{"kill " + h.name, func() { h.signal(syscall.SIGKILL) }},
		{"terminate " + h.name, func() { h.signal(syscall.SIGTERM) }},
		{"kill all hosts", func() { k.signalHosts(syscall.SIGKILL) }},
	}[k.random.IntN(3)]
}

// disturb returns a fault of one host or of its link to the store, or of all these links.
func (k *Soak) disturb() fault {
	i := k.random.IntN(len(k.hosts))
	h, p, l, d := k.hosts[i], k.storeProxies[i], k.randomLinkFault(), k.faultDuration()
	all := linkFault{responses: dropped, requests: dropped}
	return []fault{
		{"reload " + h.name, func() { h.signal(syscall.SIGHUP) }},
		{fmt.Sprintf("suspend %s for %d ms", h.name, d), func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(d.Duration())
			h.signal(syscall.SIGCONT)
		}},
		{"reset store connections of " + h.name, p.reset},
		{fmt.Sprintf("store link of %s for %d ms: %+v", h.name, d, l), func() { disturbLinks(l, d, p) }},
		{fmt.Sprintf("store link of %s for %d ms: %+v", h.name, d, l), func() { disturbLinks(l, d, p) }},
		{fmt.Sprintf("store links of all hosts for %d ms", d), func() { disturbLinks(all, d, k.storeProxies...) }},
	}[k.random.IntN(6)]
}

// disturbWorker returns a fault of the link between all hosts and a worker.
func (k *Soak) disturbWorker() fault {
	w, l, d := k.randomWorker(), k.randomLinkFault(), k.faultDuration()
	if k.random.IntN(5) == 0 {
		return fault{"reset connections of " + w.id, w.proxy.reset}
	}
	return fault{fmt.Sprintf("link of %s for %d ms: %+v", w.id, d, l), func() { disturbLinks(l, d, w.proxy) }}
}

// restart returns a restart of a worker or a series of two or three. It may begin during a
// network fault of that worker, whose messages may then meet the next process, or soon after.
func (k *Soak) restart() fault {
	w, l, d := k.randomWorker(), k.randomLinkFault(), k.faultDuration()
	wait := k.millis(int(d) + maxOffsetMillis)
	restarts := []int{1, 1, 2, 3}[k.random.IntN(4)]
	down, gap := clock.Millis(0), clock.Millis(0)
	if k.random.IntN(2) == 0 {
		down = k.millis(maxDownMillis / restarts)
	}
	if restarts > 1 {
		gap = max(0, k.millis(maxSeriesMillis/(restarts-1))-down)
	}
	series := func() {
		for range restarts {
			k.restartWorker(w, down)
			time.Sleep(gap.Duration())
		}
	}
	name := fmt.Sprintf("restart %s %d times, down for %d ms, gap of %d ms", w.id, restarts, down, gap)
	if k.random.IntN(2) == 0 {
		return fault{name, series}
	}
	return fault{fmt.Sprintf("link of %s for %d ms: %+v; after %d ms %s", w.id, d, l, wait, name), func() {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			disturbLinks(l, d, w.proxy)
		}()
		time.Sleep(wait.Duration())
		series()
		<-ended
	}}
}

// delayOrders returns a fault during which a worker carries out orders late.
func (k *Soak) delayOrders() fault {
	w, d := k.randomWorker(), max(minLateFault, k.faultDuration())
	return fault{fmt.Sprintf("late orders of %s for %d ms", w.id, d), func() {
		w.lateFaults.Add(1)
		time.Sleep(d.Duration())
		w.lateFaults.Add(-1)
	}}
}

// disturbLinks injects a fault into links for a duration.
func disturbLinks(l linkFault, d clock.Millis, links ...*proxy) {
	for _, p := range links {
		p.setFault(l)
	}
	time.Sleep(d.Duration())
	for _, p := range links {
		p.setFault(linkFault{})
	}
}

// restartWorker restarts a worker; an error ends the soak test.
func (k *Soak) restartWorker(w *worker, down clock.Millis) {
	if err := w.restart(down); err != nil {
		select {
		case k.failed <- err:
		default:
		}
	}
}

func (k *Soak) signalHosts(s syscall.Signal) { signalAll(k.hosts, s) }
