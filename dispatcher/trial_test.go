package dispatcher

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/apportioner"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/router"
	"galenawharf.example/galenawharf/schema"
)

type (
	// deployment is the size of a user's installation. oneWayDelay is the network delay
	// between data centres.
	deployment struct {
		entries     int
		executors   int
		oneWayDelay time.Duration
	}

	// scenario is a load and an optional event during it.
	scenario struct {
		// load is the rate of requests relative to the capacity of the executors.
		load float64
		// callerRetries is how many times a caller resends an unanswered request, without
		// delay.
		callerRetries int
		// timeout is the request timeout; 0 means trialTimeout.
		timeout clock.Millis
		// duration is how long requests are sent; 0 means trialDuration.
		duration time.Duration
		// event, if set, runs at trialFaultAt.
		event func(w *simulation)
	}

	// entryHost is the part of a Dispatcher that callers use.
	entryHost interface {
		Check(ctx context.Context, q *schema.CheckRequest) *schema.Answer
		SetView(v *View)
		Close(ctx context.Context) error
	}

	// simulation is a cluster of executors, entry hosts and callers in virtual time.
	simulation struct {
		deployment
		seed         uint64
		sendDuration time.Duration
		// backends are the simulated executors, hosts their entries in the view.
		backends   []*imitator.Executor
		hosts      []provider.Host
		entryHosts []provider.Host
		entries    []entryHost
		// dead marks the entry hosts that have failed.
		dead     []bool
		networks []*network

		mu        sync.Mutex
		latencies []time.Duration
		outcomes  map[coder.Code]int
		// falseNotRuns counts requests that ran although the caller was told that they
		// had not.
		falseNotRuns int
		attempts     int
		requests     int
		// checks counts the requests that entry hosts received, resent ones included.
		checks int
		// steadyAnswers counts the answers between trialRampUp and the end of sending.
		steadyAnswers int
		start         time.Time
		// maxWaiting is, by executor, the largest number of requests that it reported as
		// waiting for a slot.
		maxWaiting []int
	}

	// network connects one entry host to the executors. It keeps connections open for
	// reuse.
	network struct {
		w          *simulation
		dataCentre string
		mu         sync.Mutex
		idle       map[string][]*connection
		all        []*connection
	}

	// connection is an open connection. While it is silent, requests on it get no response.
	connection struct{ silent atomic.Bool }

	// summary is the result of a trial.
	summary struct {
		// onTime is the share of all requests answered within the latency target.
		onTime         float64
		p50, p99, p999 time.Duration
		// answered is the share of all requests that were answered.
		answered float64
		// goodput is the rate of answers in the steady phase relative to the capacity.
		goodput float64
		// attempts is the number of attempts per request.
		attempts float64
	}
)

const (
	trialSlots         = 8
	trialMeanServiceMs = 40.0
	trialTimeout       = clock.Second
	trialLatencyTarget = 200 * clock.Millis(1)
	trialDuration      = 3 * time.Second
	trialFaultAt       = time.Second
	trialRampUp        = 200 * time.Millisecond
)

var (
	trialFlag  = flag.Bool("trial", false, "run the trials and print their table")
	trialOnly  = flag.String("trial-only", "", "run only trials whose name contains this text")
	trialUser  = flag.String("trial-user", "crossguard", "user whose deployment is simulated")
	trialSeeds = flag.Int("trial-seeds", 3, "number of seeds to run")

	deployments = map[string]deployment{
		"crossguard": {entries: 7, executors: 50, oneWayDelay: 500 * time.Microsecond},
		"sorica":     {entries: 7, executors: 65, oneWayDelay: time.Millisecond},
	}
)

// serviceTime returns how long a request takes at an executor. The times are log-normal, and
// five times as long for one request in fifty; 1.08 corrects their mean for these.
func serviceTime(seed uint64, address, id string) clock.Millis {
	h := xxhash.Sum64String(address + "|" + id)
	r := rand.New(rand.NewPCG(seed, h))
	const sigma = 0.4
	d := trialMeanServiceMs / 1.08 * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	if r.IntN(50) == 0 {
		d *= 5
	}
	return clock.Millis(max(d, 1))
}

func newSimulation(t *testing.T, p deployment, seed uint64, entry func(*network, string, string) entryHost) *simulation {
	t.Helper()
	w := &simulation{deployment: p, seed: seed, maxWaiting: make([]int, p.executors), outcomes: map[coder.Code]int{}, dead: make([]bool, p.entries)}
	for i := range p.executors {
		address := fmt.Sprint(i)
		w.backends = append(w.backends, imitator.NewExecutor(trialSlots, sleep, func(r provider.Request) clock.Millis {
			return serviceTime(seed, address, r.ID)
		}))
		w.hosts = append(w.hosts, provider.Host{Address: address, Service: "s", DataCentre: fmt.Sprint("dc", i%3), Slots: trialSlots, Connections: 64})
	}
	for i := range p.entries {
		h := provider.Host{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%3)}
		w.entryHosts = append(w.entryHosts, h)
		n := &network{w: w, dataCentre: h.DataCentre, idle: map[string][]*connection{}}
		w.networks = append(w.networks, n)
		w.entries = append(w.entries, entry(n, h.Name, h.DataCentre))
	}
	w.updateView()
	return w
}

func (n *network) executors() provider.Executors {
	run := imitator.ExecutorsOf(n.w.find)
	return provider.Executors{
		Run: func(ctx context.Context, address string, r provider.Request) (provider.Response, error) {
			n.w.countAttempt()
			c := n.getConnection(address)
			if c.silent.Load() {
				<-ctx.Done()
				return provider.Response{}, ctx.Err()
			}
			if err := n.delay(ctx, address); err != nil {
				return provider.Response{}, err
			}
			a, err := run.Run(ctx, address, r)
			if err == nil {
				n.w.recordWaiting(address, a.Waiting)
				err = n.delay(ctx, address)
			}
			if c.silent.Load() {
				<-ctx.Done()
			}
			if ctx.Err() != nil {
				return provider.Response{}, ctx.Err()
			}
			n.putConnection(address, c)
			return a, err
		},
		Cancel: run.Cancel,
	}
}

// delay waits for the one-way delay if the executor is in another data centre.
func (n *network) delay(ctx context.Context, address string) error {
	if n.w.hosts[indexOf(address)].DataCentre == n.dataCentre {
		return nil
	}
	timer := time.NewTimer(n.w.oneWayDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *network) getConnection(address string) *connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	if idle := n.idle[address]; len(idle) > 0 {
		c := idle[len(idle)-1]
		n.idle[address] = idle[:len(idle)-1]
		return c
	}
	c := &connection{}
	n.all = append(n.all, c)
	return c
}

func (n *network) putConnection(address string, c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle[address] = append(n.idle[address], c)
}

// silenceConnections makes a random share of the open connections permanently silent.
func (n *network) silenceConnections(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := rand.New(rand.NewPCG(n.w.seed, 7))
	for _, c := range n.all {
		if r.Float64() < share {
			c.silent.Store(true)
		}
	}
}

func indexOf(address string) int {
	var i int
	_, _ = fmt.Sscan(address, &i)
	return i
}

func (w *simulation) find(address string) *imitator.Executor { return w.backends[indexOf(address)] }

func (w *simulation) recordWaiting(address string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxWaiting[indexOf(address)] = max(w.maxWaiting[indexOf(address)], n)
}

func (w *simulation) countCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks++
}

func (w *simulation) countAttempt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts++
}

// updateView sends the current view to every entry host that is alive.
func (w *simulation) updateView() {
	var live []provider.Host
	for i, h := range w.entryHosts {
		if !w.dead[i] {
			live = append(live, h)
		}
	}
	v := NewView(slices.Clone(w.hosts), live, []declarer.Service{{Name: "s", Team: "t", LatencyTarget: trialLatencyTarget, Limits: declarer.RequestLimits{PerSecond: 100_000}}}, nil)
	for i, e := range w.entries {
		if !w.dead[i] {
			e.SetView(v)
		}
	}
}

// sendLoad sends the requests of a scenario and waits for their answers.
func (w *simulation) sendLoad(s scenario) {
	w.sendDuration = cmp.Or(s.duration, trialDuration)
	r := rand.New(rand.NewPCG(w.seed, 1))
	rate := s.load * float64(w.executors*trialSlots) / trialMeanServiceMs * 1000
	if s.event != nil {
		time.AfterFunc(trialFaultAt, func() { s.event(w) })
	}
	var callers sync.WaitGroup
	w.start = time.Now()
	for i := 0; time.Since(w.start) < w.sendDuration; i++ {
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		e := w.pickEntry(r)
		callers.Go(func() { w.sendRequest(w.entries[e], fmt.Sprint(i), s) })
	}
	callers.Wait()
}

func (w *simulation) pickEntry(r *rand.Rand) int {
	for {
		if e := r.IntN(len(w.entries)); !w.dead[e] {
			return e
		}
	}
}

func (w *simulation) sendRequest(e entryHost, id string, s scenario) {
	start := time.Now()
	var a *schema.Answer
	for range 1 + s.callerRetries {
		w.countCheck()
		a = e.Check(context.Background(), request(id, cmp.Or(s.timeout, trialTimeout)))
		if codeOf(a) == coder.OK {
			break
		}
	}
	d := time.Since(start)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	w.outcomes[codeOf(a)]++
	if impliesNotRun(codeOf(a)) && w.hasRun(id) {
		w.falseNotRuns++
	}
	if at := time.Since(w.start); codeOf(a) == coder.OK && at >= trialRampUp && at < w.sendDuration {
		w.steadyAnswers++
	}
	if codeOf(a) == coder.OK {
		w.latencies = append(w.latencies, d)
	}
}

// impliesNotRun reports whether a code states that the request did not run.
func impliesNotRun(c coder.Code) bool {
	switch c {
	case coder.OK, coder.Unknown, coder.Incomplete, coder.Cancelled, coder.Pending, coder.Failed:
		return false
	}
	return true
}

func (w *simulation) hasRun(id string) bool {
	return slices.ContainsFunc(w.backends, func(e *imitator.Executor) bool { return e.Ran("t/"+id) > 0 })
}

// summarize computes the summary; without any answer, the percentiles are trialTimeout.
func (w *simulation) summarize() summary {
	slices.Sort(w.latencies)
	at := func(p float64) time.Duration {
		if len(w.latencies) == 0 {
			return trialTimeout.Duration()
		}
		return w.latencies[int(p*float64(len(w.latencies)-1))]
	}
	capacity := float64(w.executors*trialSlots) / trialMeanServiceMs * 1000 * (w.sendDuration - trialRampUp).Seconds()
	onTime, _ := slices.BinarySearch(w.latencies, trialLatencyTarget.Duration()+1)
	return summary{
		onTime: float64(onTime) / float64(w.requests),
		p50:    at(0.5), p99: at(0.99), p999: at(0.999),
		answered: float64(len(w.latencies)) / float64(w.requests),
		goodput:  float64(w.steadyAnswers) / capacity,
		attempts: float64(w.attempts) / float64(w.requests),
	}
}

func runTrial(t *testing.T, p deployment, s scenario, seed uint64, entry func(*network, string, string) entryHost) (out summary) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, p, seed, entry)
		w.sendLoad(s)
		for _, e := range w.entries {
			must.NoError(t, e.Close(t.Context()))
		}
		out = w.summarize()
	})
	return out
}

// withPolicy returns a constructor of dispatchers with a changed policy.
func withPolicy(change func(*policy)) func(*network, string, string) entryHost {
	return func(n *network, name, dataCentre string) entryHost {
		p := defaultPolicy
		change(&p)
		d, err := New(WithExecutors(n.executors()), WithName(name), WithDataCentre(dataCentre), WithSeed(n.w.seed), func(d *Dispatcher) { d.policy = p })
		if err != nil {
			panic(err)
		}
		return d
	}
}

var scenarios = map[string]scenario{
	"load 0.5":              {load: 0.5},
	"load 0.8":              {load: 0.8},
	"load 1":                {load: 1},
	"load 2":                {load: 2},
	"load 4":                {load: 4},
	"load 2, timeout 150":   {load: 2, timeout: 150},
	"load 2, callers retry": {load: 2, callerRetries: 3},
	"slow":                  {load: 0.6, event: func(w *simulation) { w.injectFaults(5, imitator.ExecutorFaults{Slower: 400}) }},
	"failing":               {load: 0.6, event: func(w *simulation) { w.injectFaults(5, imitator.ExecutorFaults{Down: true}) }},
	"losing answers":        {load: 0.6, event: func(w *simulation) { w.injectFaults(5, imitator.ExecutorFaults{LoseAnswers: 1 << 30}) }},
	"silent executors":      {load: 0.6, event: func(w *simulation) { w.injectFaults(5, imitator.ExecutorFaults{Silent: true}) }},
	"silent connections": {load: 0.6, event: func(w *simulation) {
		for _, n := range w.networks {
			n.silenceConnections(0.5)
		}
	}},
	"executors leave": {load: 0.6, event: func(w *simulation) {
		for i := range 5 {
			w.backends[i].SetLeaving(true)
		}
		time.AfterFunc(500*time.Millisecond, func() {
			for i := range 5 {
				w.hosts[i].Leaving = true
			}
			w.updateView()
			for i := range 5 {
				w.backends[i].SetFaults(imitator.ExecutorFaults{Down: true})
			}
		})
	}},
	"entry hosts die": {load: 0.8, event: func(w *simulation) {
		w.dead[0], w.dead[1] = true, true
		time.AfterFunc(500*time.Millisecond, w.updateView)
	}},
}

func (w *simulation) injectFaults(n int, f imitator.ExecutorFaults) {
	for i := range n {
		w.backends[i*len(w.backends)/n].SetFaults(f)
	}
}

var variants = map[string]func(*network, string, string) entryHost{
	"naive":        newNaive,
	"all on":       withPolicy(func(*policy) {}),
	"random pick":  withPolicy(func(p *policy) { p.pick = randomPick }),
	"least loaded": withPolicy(func(p *policy) { p.pick = leastLoaded }),
	"no shares": withPolicy(func(p *policy) {
		p.share = func(*apportioner.Table, string, string) int { return trialSlots }
	}),
	"no deadlines":      withPolicy(func(p *policy) { p.pace = func(*service) limiter.Pace { return limiter.NewPace(0, 0) } }),
	"no standing limit": withPolicy(func(p *policy) { p.standingQueueAfter = clock.Never }),
	"no hedges":         withPolicy(func(p *policy) { p.hedgeAfter = func(*router.Latency) clock.Millis { return clock.Never } }),
	"no silence":        withPolicy(func(p *policy) { p.silentAfter = func(*router.Latency, int) clock.Millis { return clock.Never } }),
	"no ejection": withPolicy(func(p *policy) {
		p.eject = func(*ejector.Ejector, clock.Millis, []ejector.Report) []ejector.Change { return nil }
	}),
}

// randomPick picks any executor with a free slot.
func randomPick(p *router.Pool, r uint64, _ clock.Millis, tried []*router.Target) *router.Target {
	all := p.Targets()
	for i := range all {
		t := all[(r%uint64(len(all))+uint64(i))%uint64(len(all))]
		if !slices.Contains(tried, t) && t.Acquire() {
			return t
		}
	}
	return nil
}

// leastLoaded picks the executor with the fewest attempts in flight.
func leastLoaded(p *router.Pool, r uint64, _ clock.Millis, tried []*router.Target) *router.Target {
	all := slices.Clone(p.Targets())
	rand.New(rand.NewPCG(r, 0)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *router.Target) int { return a.InFlight() - b.InFlight() })
	for _, t := range all {
		if !slices.Contains(tried, t) && t.Acquire() {
			return t
		}
	}
	return nil
}

// TestTrials prints, with -trial, the results of each scenario with single mechanisms
// disabled.
func TestTrials(t *testing.T) {
	if !*trialFlag {
		t.Skip("runs with -trial")
	}
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		for _, v := range slices.Sorted(maps.Keys(variants)) {
			if !strings.Contains(name+"/"+v, *trialOnly) {
				continue
			}
			var lines []string
			for seed := range uint64(*trialSeeds) {
				o := runTrial(t, deployments[*trialUser], scenarios[name], seed+1, variants[v])
				lines = append(lines, fmt.Sprintf("%4d %4d %4d  %.4f %.4f %.3f %.2f", o.p50.Milliseconds(), o.p99.Milliseconds(), o.p999.Milliseconds(), o.onTime, o.answered, o.goodput, o.attempts))
			}
			fmt.Printf("%-22s %-14s %s\n", name, v, strings.Join(lines, " | "))
		}
	}
}
