package soaker

import (
	"sync"
	"syscall"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// fault is a fault that begin injects and end removes after duration.
type fault struct {
	begin, end func()
	duration   clock.Millis
}

const (
	// maxGapMillis is the largest random part of the time between the beginnings of two
	// faults. Most faults last longer, so that they overlap.
	maxGapMillis = 1500
	// maxFaultMillis is the largest random part of a fault's duration. It is long enough that
	// leases expire during some faults.
	maxFaultMillis = 7000
	maxDelayMillis = 400
)

// injectFaults injects random faults for the FaultDuration of the settings, and returns once
// all have ended.
func (k *Soak) injectFaults() {
	var group sync.WaitGroup
	deadline := time.Now().Add(k.settings.FaultDuration.Duration())
	for time.Now().Before(deadline) {
		f := k.randomFault()
		group.Add(1)
		go func() {
			defer group.Done()
			f.begin()
			time.Sleep(f.duration.Duration())
			f.end()
		}()
		time.Sleep(time.Duration(200+k.random.IntN(maxGapMillis)) * time.Millisecond)
	}
	group.Wait()
}

// randomFault returns a random fault for a random host, store connection or worker.
func (k *Soak) randomFault() fault {
	h := k.hosts[k.random.IntN(len(k.hosts))]
	store := k.stores[k.random.IntN(len(k.stores))]
	worker := k.workers[k.random.IntN(len(k.workers))]
	duration := clock.Millis(500 + k.random.IntN(maxFaultMillis))
	delay := clock.Millis(50 + k.random.IntN(maxDelayMillis))
	id := k.random.IntN(k.settings.Workers)
	noop := func() {}
	networkFault := func(p *proxy, h linkFault) fault {
		return fault{begin: func() { p.setFault(h) }, end: func() { p.setFault(linkFault{}) }, duration: duration}
	}
	faults := []fault{
		{begin: func() { h.signal(syscall.SIGKILL) }, end: noop},
		{begin: func() { h.signal(syscall.SIGTERM) }, end: noop},
		{begin: func() { h.signal(syscall.SIGHUP) }, end: noop},
		{begin: func() { h.signal(syscall.SIGSTOP) }, end: func() { h.signal(syscall.SIGCONT) }, duration: duration},
		{begin: func() { k.pool.Restart(workerName(id)) }, end: noop},
		{begin: store.reset, end: noop},
		{begin: worker.reset, end: noop},
		networkFault(store, linkFault{dropResponses: true}), networkFault(store, linkFault{dropRequests: true}), networkFault(store, linkFault{refuseConns: true}), networkFault(store, linkFault{delay: delay}),
		networkFault(worker, linkFault{dropResponses: true}), networkFault(worker, linkFault{dropRequests: true}), networkFault(worker, linkFault{refuseConns: true}), networkFault(worker, linkFault{delay: delay}),
		{begin: func() { k.setStoreFaults(linkFault{dropResponses: true, dropRequests: true}) }, end: func() { k.setStoreFaults(linkFault{}) }, duration: duration},
		{begin: func() { k.signalHosts(syscall.SIGKILL) }, end: noop},
	}
	return faults[k.random.IntN(len(faults))]
}

func (k *Soak) setStoreFaults(h linkFault) {
	for _, p := range k.stores {
		p.setFault(h)
	}
}

func (k *Soak) signalHosts(s syscall.Signal) {
	for _, h := range k.hosts {
		h.signal(s)
	}
}
