// Package soaker runs soak tests: it starts the daemons of a deployment as separate
// processes on one machine, with simulated store and workers, kills and suspends processes
// and disturbs the network between them. It checks that accepted jobs complete, that refused
// jobs never run, and that no task runs twice at once or again after its end was
// acknowledged.
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
	// Settings configure one soak test.
	Settings struct {
		// Binary is the path of the daemon's executable, Dir the directory for settings
		// and logs.
		Binary, Dir string
		// Seed determines the random load and faults.
		Seed uint64
		// Hosts and Workers are the numbers of daemons and of workers.
		Hosts, Workers int
		// CalmDuration is how long jobs are submitted before the first fault, FaultDuration
		// how long faults are injected, SettleTimeout how long accepted jobs may take to
		// complete after that.
		CalmDuration, FaultDuration, SettleTimeout clock.Millis
		// Tenants is whether one of the routes has tenants.
		Tenants bool
	}

	// Soak is a deployment in a soak test.
	Soak struct {
		settings     Settings
		random       *rand.Rand
		log          *imitator.KeyedLog
		pool         *imitator.Pool
		hosts        []*host
		storeProxies []*proxy
		workers      []*worker
		servers      []*http.Server
		ports        []*port
		done         chan struct{}
		group        sync.WaitGroup
		callers      *callers
		disruptions  imitator.Disruptions
		faults       int
		// tenants is nil unless Settings.Tenants is set.
		tenants *tenants
		// failed receives the first error that keeps a fault from ending.
		failed chan error
	}

	// Result is the outcome of a soak test.
	Result struct {
		Counts Counts
		// Violations has a message for each violation of a guarantee to callers, and for
		// each count below its floor.
		Violations []string
	}
)

const (
	workerSlots = 6
	// heartbeatInterval is the interval at which workers write their registry entries.
	heartbeatInterval = 500 * clock.Millis(1)
	// storeLatency is the response time of the store.
	storeLatency = 4 * clock.Millis(1)
	// maxLease is the longest lease of a worker.
	maxLease = 6 * clock.Second
	// maxTaskMillis is the largest random part of a task's run time.
	maxTaskMillis = 900
	// On average, one run in shortOneIn lasts at most maxShortTaskMillis, so that it may end
	// before the next poll of its worker.
	shortOneIn         = 3
	maxShortTaskMillis = 50
	// On average, one run in failOneIn fails.
	failOneIn = 30
	// operatorConfig is the deployment's configuration, as an operator writes it to the
	// store.
	operatorConfig = `{"version":3,"routes":[{"name":"r","host":"soak.example","prefix":"/jobs/","service":"pool","max_attempts":12,"slack_factor":2,"target_latency_ms":500}],"limits":{"max_body_bytes":65536}}`
)

// Run runs one soak test. It returns an error only if the deployment can't be started or the
// test can't go on.
func Run(s Settings) (Result, error) {
	k, err := start(s)
	if err != nil {
		return Result{}, err
	}
	defer k.close()
	k.callers.start()
	r := Result{}
	if !k.callers.awaitAcceptance() || !k.submitLasting() {
		r.Violations = append(r.Violations, fmt.Sprintf("no job was accepted within %d ms, without a fault", startTimeout))
		k.finish(&r)
		return r, nil
	}
	if k.tenants != nil {
		k.tenants.start()
		k.tenants.checkCalm()
		k.tenants.startChanges()
	}
	time.Sleep(s.CalmDuration.Duration())
	r.Counts.CalmAccepted = len(k.callers.accepted())
	deadly := make(chan []string, 1)
	go func() { deadly <- k.submitDeadly() }()
	if err := k.injectFaults(); err != nil {
		return Result{}, err
	}
	if k.tenants != nil {
		k.callers.stop()
		k.tenants.endChanges()
		k.tenants.checkCalm()
		k.tenants.finish(&r)
	}
	k.finish(&r, <-deadly...)
	return r, nil
}

func start(s Settings) (*Soak, error) {
	k := &Soak{settings: s, random: rand.New(rand.NewPCG(s.Seed, 1)), done: make(chan struct{}), failed: make(chan error, 1)}
	k.log = imitator.NewKeyedLog(storeLatency, nil)
	runRandom := rand.New(rand.NewPCG(s.Seed, 2))
	lastingRunTime := lastingRunTimes(s.Seed)
	k.pool = imitator.NewPool(s.Workers, workerSlots, func(n scheduler.TaskName, _ int) (clock.Millis, scheduler.Ending) {
		if n.Job == k.lastingID() {
			return lastingRunTime()
		}
		if isDeadly(n) {
			return clock.Second, scheduler.EndDone
		}
		ending := scheduler.EndDone
		if runRandom.IntN(failOneIn) == 0 {
			ending = scheduler.EndFailed
		}
		if runRandom.IntN(shortOneIn) == 0 {
			return clock.Millis(1 + runRandom.IntN(maxShortTaskMillis)), ending
		}
		return clock.Millis(50 + runRandom.IntN(maxTaskMillis)), ending
	}, nil)
	k.pool.SetMaxLease(maxLease)
	k.pool.SetDeadly(isDeadly, false)
	k.pool.OnCrash(k.crash)
	if s.Tenants {
		k.tenants = newTenants(k)
	} else {
		k.log.Put("op", recorder.Item{Key: "config", Value: []byte(operatorConfig)})
	}
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

// serve starts an HTTP server on loopback and returns its address.
func (k *Soak) serve(s *http.Server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "soaker.Soak.serve")
	}
	s.ReadHeaderTimeout = time.Minute
	k.servers = append(k.servers, s)
	k.group.Add(1)
	go func() {
		defer k.group.Done()
		// It returns when close closes the server.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// startWorkers starts the workers, each behind a proxy, and writes their entries to the
// registry, the topic "servers" of the store, at each heartbeat.
func (k *Soak) startWorkers() error {
	for i := range k.settings.Workers {
		if err := k.startWorker(i); err != nil {
			return err
		}
	}
	k.group.Add(1)
	go func() {
		defer k.group.Done()
		t := time.NewTicker(heartbeatInterval.Duration())
		defer t.Stop()
		for {
			for _, w := range k.workers {
				if i, up := w.handler.Entry(w.proxy.address()); up {
					k.log.Put("servers", i)
				}
			}
			select {
			case <-t.C:
			case <-k.done:
				return
			}
		}
	}()
	return nil
}

// startHosts starts the store and the daemons. Each daemon reaches the store through a proxy
// of its own.
func (k *Soak) startHosts() error {
	store, err := k.serve(&http.Server{Handler: imitation.NewStore(k.log)})
	if err != nil {
		return err
	}
	for i := range k.settings.Hosts {
		p, err := newProxy(store)
		if err != nil {
			return err
		}
		k.storeProxies = append(k.storeProxies, p)
		ports, err := k.reservePorts(3)
		if err != nil {
			return err
		}
		h := &host{
			name: fmt.Sprintf("host-%d", i), binary: k.settings.Binary, dir: k.settings.Dir, address: ports[0], down: restartDelay,
			started: func() { k.disruptions.Begin()() },
		}
		if err := h.start(hostSettings(h.name, ports, p.address())); err != nil {
			return err
		}
		k.hosts = append(k.hosts, h)
	}
	return nil
}

// reservePorts returns n addresses on loopback whose ports stay reserved until close.
func (k *Soak) reservePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		p, err := newPort()
		if err != nil {
			return nil, err
		}
		k.ports = append(k.ports, p)
		addresses = append(addresses, p.address)
	}
	return addresses, nil
}

// hostSettings returns the contents of a daemon's settings file.
func hostSettings(name string, ports []string, store string) string {
	return strings.Join([]string{
		"node_name=" + name, "zone=a", "ip=127.0.0.1", "listen.frontend=" + ports[0], "listen.ready=" + ports[1], "listen.control_plane=" + ports[2],
		"platform.addr=" + store, "platform.form=log", "limits.cpu_share=1", "limits.cores=1",
		fmt.Sprintf("bounds.hold_max_ms=%d", maxLease), "bounds.status_s=600", "bounds.interference_ms=4000", "bounds.grace_s=6", "bounds.remote_factor=2", "contracts=tenants,quota", "",
	}, "\n")
}

// finish waits for the accepted jobs to complete, and for those with deadly tasks to fail, and adds the
// counts and the violations found to r.
func (k *Soak) finish(r *Result, deadly ...string) {
	gaps, late := k.longGaps()
	r.Violations = append(r.Violations, late...)
	// By the platform's rules a task may be given up once two workers have crashed under it.
	failed, pending := k.callers.finish(k.settings.SettleTimeout, func(id string) bool { return k.pool.CrashesUnder(id) >= 2 })
	r.Violations = append(r.Violations, k.unfailed(deadly)...)
	r.Violations = append(append(r.Violations, pending...), k.pool.Violations()...)
	for _, id := range k.callers.refused() {
		if k.pool.Started(id) {
			r.Violations = append(r.Violations, id+" ran although every answer refused it")
		}
	}
	if n := k.callers.keysDemanded.Load(); n > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d calls on the public route were refused for want of a key", n))
	}
	c := &r.Counts
	c.Accepted, c.Refused, c.Faults = len(k.callers.accepted()), len(k.callers.refused()), k.faults
	c.Completed, c.GivenUp = c.Accepted-len(pending)-failed, failed
	c.Workers = k.pool.Counts()
	c.Gaps = len(gaps)
	for _, g := range gaps {
		c.LongestGap = max(c.LongestGap, g.Length())
	}
	for _, w := range k.workers {
		c.LateOrders += w.handler.LateOrders()
	}
	for _, h := range k.hosts {
		killed, ownExits := h.ends()
		c.Killed, c.OwnExits = c.Killed+killed, c.OwnExits+ownExits
	}
	if c.OwnExits > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d daemons ended by themselves", c.OwnExits))
	}
	r.Violations = append(r.Violations, c.belowFloors(k.settings)...)
}

// close stops everything that the soak test has started.
func (k *Soak) close() {
	close(k.done)
	for _, h := range k.hosts {
		h.stop()
	}
	for _, w := range k.workers {
		w.proxy.close()
	}
	for _, p := range k.storeProxies {
		p.close()
	}
	for _, p := range k.ports {
		p.close()
	}
	for _, s := range k.servers {
		// An error does not matter, since the clients have all ended.
		_ = s.Close()
	}
	k.group.Wait()
}
