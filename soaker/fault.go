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
	// maxGapMillis is the largest random part of the time from the beginning of one fault
	// to that of the next. Most faults last longer, so they overlap.
	maxGapMillis = 1500
	// maxFaultMillis is the largest random part of a fault's duration. It is long enough that
	// leases expire during some faults.
	maxFaultMillis = 7000
	maxDelayMillis = 400
)

// injectFaults injects random faults for Settings.FaultDuration, and returns once all have
// ended.
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

// randomFault returns a random fault of one host, one worker or all hosts, or of the network:
// between one host and the store, between the hosts and one worker, or between all hosts and
// the store.
func (k *Soak) randomFault() fault {
	h := k.hosts[k.random.IntN(len(k.hosts))]
	storeProxy := k.storeProxies[k.random.IntN(len(k.storeProxies))]
	workerProxy := k.workerProxies[k.random.IntN(len(k.workerProxies))]
	duration := clock.Millis(500 + k.random.IntN(maxFaultMillis))
	delay := clock.Millis(50 + k.random.IntN(maxDelayMillis))
	workerIndex := k.random.IntN(k.settings.Workers)
	noop := func() {}
	networkFault := func(p *proxy, l linkFault) fault {
		return fault{begin: func() { p.setFault(l) }, end: func() { p.setFault(linkFault{}) }, duration: duration}
	}
	faults := []fault{
		{begin: func() { h.signal(syscall.SIGKILL) }, end: noop},
		{begin: func() { h.signal(syscall.SIGTERM) }, end: noop},
		{begin: func() { h.signal(syscall.SIGHUP) }, end: noop},
		{begin: func() { h.signal(syscall.SIGSTOP) }, end: func() { h.signal(syscall.SIGCONT) }, duration: duration},
		{begin: func() { k.pool.Restart(workerName(workerIndex)) }, end: noop},
		{begin: storeProxy.reset, end: noop},
		{begin: workerProxy.reset, end: noop},
		networkFault(storeProxy, linkFault{dropResponses: true}), networkFault(storeProxy, linkFault{dropRequests: true}), networkFault(storeProxy, linkFault{refuseConns: true}), networkFault(storeProxy, linkFault{delay: delay}),
		networkFault(workerProxy, linkFault{dropResponses: true}), networkFault(workerProxy, linkFault{dropRequests: true}), networkFault(workerProxy, linkFault{refuseConns: true}), networkFault(workerProxy, linkFault{delay: delay}),
		{begin: func() { k.setStoreFaults(linkFault{dropResponses: true, dropRequests: true}) }, end: func() { k.setStoreFaults(linkFault{}) }, duration: duration},
		{begin: func() { k.signalHosts(syscall.SIGKILL) }, end: noop},
	}
	return faults[k.random.IntN(len(faults))]
}

func (k *Soak) setStoreFaults(h linkFault) {
	for _, p := range k.storeProxies {
		p.setFault(h)
	}
}

func (k *Soak) signalHosts(s syscall.Signal) {
	for _, h := range k.hosts {
		h.signal(s)
	}
}
