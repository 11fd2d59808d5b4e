// Package soaker runs the daemons of a deployment as separate processes on one
// machine, against stand-ins for the store and the workers, injects faults from
// outside, and checks what callers and workers were promised.
package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/platform/imitation"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Settings are those of one soak.
	Settings struct {
		// Binary is the daemon's program, Dir where settings and logs go.
		Binary, Dir string
		// Seed decides the load and the faults.
		Seed uint64
		// Hosts and Workers are how many there are.
		Hosts, Workers int
		// Trouble is how long faults are injected, Calm how long accepted jobs may
		// take to end after that.
		Trouble, Calm clock.Millis
	}

	// Soak is a deployment under trouble.
	Soak struct {
		settings Settings
		random   *rand.Rand
		log      *imitator.KeyedLog
		pool     *imitator.Pool
		hosts    []*host
		stores   []*proxy
		workers  []*proxy
		servers  []*http.Server
		ended    chan struct{}
		group    sync.WaitGroup
		callers  *callers
	}

	// Result is what a soak has found.
	Result struct {
		Accepted, Refused, Runs int
		// Faults are broken promises.
		Faults []string
	}
)

const (
	workerSlots = 6
	// beatEvery is how often workers write to the registry.
	beatEvery = 500 * clock.Millis(1)
	// storeAnswer is how long the store takes.
	storeAnswer = 4 * clock.Millis(1)
	// taskMost bounds the length of a task.
	taskMost = 900
	// failShare is one in how many runs that fail.
	failShare = 30
	// configText is the operator's configuration.
	configText = `{"version":3,"routes":[{"name":"r","host":"soak.example","prefix":"/jobs/","service":"pool","max_attempts":12,"slack_factor":2,"target_latency_ms":500}],"limits":{"max_body_bytes":65536}}`
)

// Run plays one soak. The error is that of its own set-up.
func Run(s Settings) (Result, error) {
	k, err := start(s)
	if err != nil {
		return Result{}, err
	}
	defer k.close()
	k.callers.begin()
	k.play()
	return k.judge(), nil
}

func start(s Settings) (*Soak, error) {
	k := &Soak{settings: s, random: rand.New(rand.NewPCG(s.Seed, 1)), ended: make(chan struct{})}
	k.log = imitator.NewKeyedLog(storeAnswer, nil)
	lengths := rand.New(rand.NewPCG(s.Seed, 2))
	k.pool = imitator.NewPool(s.Workers, workerSlots, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) {
		how := scheduler.EndDone
		if lengths.IntN(failShare) == 0 {
			how = scheduler.EndFailed
		}
		return clock.Millis(50 + lengths.IntN(taskMost)), how
	}, nil)
	k.log.Put("op", recorder.Item{Key: "config", Value: []byte(configText)})
	if err := k.startWorkers(); err != nil {
		k.close()
		return nil, err
	}
	if err := k.startHosts(); err != nil {
		k.close()
		return nil, err
	}
	var addresses []string
	for _, h := range k.hosts {
		addresses = append(addresses, h.address)
	}
	k.callers = newCallers(s.Seed, addresses)
	return k, nil
}

// serve opens a server on loopback and returns its address.
func (k *Soak) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "soaker.Soak.serve")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	k.servers = append(k.servers, s)
	k.group.Add(1)
	go func() {
		defer k.group.Done()
		// It ends when the soak closes it.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

func (k *Soak) startWorkers() error {
	entries := map[string]*imitation.Worker{}
	addresses := map[string]string{}
	for i := range k.settings.Workers {
		id := fmt.Sprintf("w%d", i)
		w := imitation.NewWorker(k.pool, id)
		address, err := k.serve(w)
		if err != nil {
			return err
		}
		p, err := newProxy(address)
		if err != nil {
			return err
		}
		k.workers = append(k.workers, p)
		entries[id], addresses[id] = w, p.address()
	}
	k.group.Add(1)
	go func() {
		defer k.group.Done()
		t := time.NewTicker(beatEvery.Duration())
		defer t.Stop()
		for {
			for id, w := range entries {
				k.log.Put("servers", w.Entry(addresses[id]))
			}
			select {
			case <-t.C:
			case <-k.ended:
				return
			}
		}
	}()
	return nil
}

func (k *Soak) startHosts() error {
	store, err := k.serve(imitation.NewStore(k.log))
	if err != nil {
		return err
	}
	for i := range k.settings.Hosts {
		p, err := newProxy(store)
		if err != nil {
			return err
		}
		k.stores = append(k.stores, p)
		ports, err := freePorts(3)
		if err != nil {
			return err
		}
		h := &host{name: fmt.Sprintf("host-%d", i), binary: k.settings.Binary, dir: k.settings.Dir, address: ports[0]}
		if err := h.start(hostSettings(h.name, ports, p.address())); err != nil {
			return err
		}
		k.hosts = append(k.hosts, h)
	}
	return nil
}

// freePorts returns addresses on loopback that were free a moment ago.
func freePorts(n int) ([]string, error) {
	var as []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "soaker.freePorts")
		}
		defer func() { _ = l.Close() }()
		as = append(as, l.Addr().String())
	}
	return as, nil
}

func hostSettings(name string, ports []string, store string) string {
	return strings.Join([]string{
		"node_name=" + name, "zone=a", "ip=127.0.0.1", "listen.frontend=" + ports[0], "listen.ready=" + ports[1], "listen.control_plane=" + ports[2],
		"platform.addr=" + store, "platform.form=log", "limits.cpu_share=1", "limits.cores=1",
		"bounds.hold_max_ms=6000", "bounds.status_s=600", "bounds.interference_ms=4000", "bounds.grace_s=6", "bounds.remote_factor=2", "",
	}, "\n")
}

// judge waits for what was accepted to end and lists the broken promises.
func (k *Soak) judge() Result {
	r := Result{Faults: k.callers.finish(k.settings.Calm)}
	r.Accepted, r.Refused = k.callers.counts()
	r.Runs = k.pool.Starts()
	r.Faults = append(r.Faults, k.pool.Faults()...)
	for _, id := range k.callers.neverAccepted() {
		if k.pool.Started(id) {
			r.Faults = append(r.Faults, id+" ran although every answer refused it")
		}
	}
	return r
}

// close ends everything that the soak has started.
func (k *Soak) close() {
	close(k.ended)
	for _, h := range k.hosts {
		h.stop()
	}
	for _, p := range append(k.stores, k.workers...) {
		p.close()
	}
	for _, s := range k.servers {
		// Connections still open belong to processes that have ended.
		_ = s.Close()
	}
	k.group.Wait()
}
