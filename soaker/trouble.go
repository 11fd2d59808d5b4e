package soaker

import (
	"sync"
	"syscall"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// trouble is one fault: it begins, lasts and ends.
type trouble struct {
	begin, end func()
	lasts      clock.Millis
}

const (
	// gapMost bounds the time between faults; faults overlap, for they last longer.
	gapMost = 1500
	// lastsMost bounds how long a fault lasts, beyond a lease at times.
	lastsMost = 7000
	delayMost = 400
)

// play injects faults until the time of trouble is over, and ends them all.
func (k *Soak) play() {
	var group sync.WaitGroup
	over := time.Now().Add(k.settings.Trouble.Duration())
	for time.Now().Before(over) {
		t := k.draw()
		group.Add(1)
		go func() {
			defer group.Done()
			t.begin()
			time.Sleep(t.lasts.Duration())
			t.end()
		}()
		time.Sleep(time.Duration(200+k.random.IntN(gapMost)) * time.Millisecond)
	}
	group.Wait()
}

// draw chooses a fault.
func (k *Soak) draw() trouble {
	h := k.hosts[k.random.IntN(len(k.hosts))]
	store := k.stores[k.random.IntN(len(k.stores))]
	worker := k.workers[k.random.IntN(len(k.workers))]
	lasts := clock.Millis(500 + k.random.IntN(lastsMost))
	delay := clock.Millis(50 + k.random.IntN(delayMost))
	id := k.random.IntN(k.settings.Workers)
	nothing := func() {}
	harmed := func(p *proxy, h harm) trouble {
		return trouble{begin: func() { p.set(h) }, end: func() { p.set(harm{}) }, lasts: lasts}
	}
	all := []trouble{
		{begin: func() { h.signal(syscall.SIGKILL) }, end: nothing},
		{begin: func() { h.signal(syscall.SIGTERM) }, end: nothing},
		{begin: func() { h.signal(syscall.SIGHUP) }, end: nothing},
		{begin: func() { h.signal(syscall.SIGSTOP) }, end: func() { h.signal(syscall.SIGCONT) }, lasts: lasts},
		{begin: func() { k.pool.Restart(workerName(id)) }, end: nothing},
		{begin: store.reset, end: nothing},
		{begin: worker.reset, end: nothing},
		harmed(store, harm{mute: true}), harmed(store, harm{deaf: true}), harmed(store, harm{refuse: true}), harmed(store, harm{delay: delay}),
		harmed(worker, harm{mute: true}), harmed(worker, harm{deaf: true}), harmed(worker, harm{refuse: true}), harmed(worker, harm{delay: delay}),
		{begin: func() { k.eachStore(harm{mute: true, deaf: true}) }, end: func() { k.eachStore(harm{}) }, lasts: lasts},
		{begin: func() { k.eachHost(syscall.SIGKILL) }, end: nothing},
	}
	return all[k.random.IntN(len(all))]
}

func (k *Soak) eachStore(h harm) {
	for _, p := range k.stores {
		p.set(h)
	}
}

func (k *Soak) eachHost(s syscall.Signal) {
	for _, h := range k.hosts {
		h.signal(s)
	}
}
