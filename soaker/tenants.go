package soaker

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// tenants submits the jobs of tenants, changes their keys and caps, and checks that daemons
	// keep to them.
	tenants struct {
		k       *Soak
		config  *tenantConfig
		callers sync.WaitGroup
		changes sync.WaitGroup
		// stopChanges and stopCallers are closed to end the goroutines of changes and callers.
		stopChanges, stopCallers chan struct{}
		mu                       sync.Mutex
		random                   *rand.Rand
		counts                   TenantCounts
		// violations are the messages of each kind, which is their format.
		violations map[string][]string
		// unkeyed are the jobs that were submitted without a key or with one that no version has.
		unkeyed []string
	}
)

const (
	tenantCount = 2
	// tenantWeight is the jobs per second that a tenant may submit. Its caller sends fewer, as it
	// waits for each job.
	tenantWeight = 20
	// Each tenant has a key that stays and one that is withdrawn and returned.
	keptKey, changingKey = 0, 1
	// tenantWidth is the number of tasks of a job. Without caps they all run at once, which is
	// beyond the highest cap.
	tenantWidth = 8
	taskCPU     = 1000
	// capWindow is how long a cap may have an effect after configApply: orders are carried out up to
	// maxLateMillis late, and runs aren't stopped.
	capWindow = maxLateMillis + maxTaskMillis + 50*clock.Millis(1)
	// One tenth and one task beyond the cap are tolerated; from docs/design/tenants.md.
	toleratedExcess = 10
	// maxChangeGap is the longest time between two changes, changeBurst the most changes at once.
	maxChangeGap = 5 * clock.Second
	changeBurst  = 3
	// tenantWait is how long a caller waits for the end of a job before it submits the next.
	tenantWait = 8 * clock.Second
	// maxProbeGap is the longest time between two calls without a key of a tenant.
	maxProbeGap = 400 * clock.Millis(1)
	// maxRepeated is the most violations of a kind that are reported one by one.
	maxRepeated = 3
	// tenantStream is a stream of random numbers of its own.
	tenantStream = 0x7e4a
	// tenantPrefix begins the names of the jobs of tenants, followed by the number of the tenant.
	tenantPrefix = "7e4a0000"
)

// tenantCaps are the caps of tenants in thousandths of a core.
var tenantCaps = []int{3000, 2000, 4000}

// newTenants stores the configuration and makes the workers check the caps.
func newTenants(k *Soak) *tenants {
	t := &tenants{
		k: k, config: newTenantConfig(k.log), random: rand.New(rand.NewPCG(k.settings.Seed, tenantStream)),
		stopChanges: make(chan struct{}), stopCallers: make(chan struct{}), violations: map[string][]string{},
	}
	k.pool.OnStart(t.checkCaps)
	return t
}

// start starts the callers.
func (t *tenants) start() {
	for i := range tenantCount {
		t.callers.Go(func() { t.repeat(t.stopCallers, maxProbeGap, func() { t.submit(i) }) })
	}
	t.callers.Go(func() { t.repeat(t.stopCallers, maxProbeGap, t.probe) })
}

// startChanges starts the changes of keys and caps.
func (t *tenants) startChanges() {
	t.changes.Go(func() { t.repeat(t.stopChanges, maxChangeGap, t.change) })
}

// repeat calls f until stop is closed, with random waits of at most gap.
func (t *tenants) repeat(stop chan struct{}, gap clock.Millis, f func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(clock.Millis(t.intN(int(gap))).Duration()):
			f()
		}
	}
}

func (t *tenants) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

func (t *tenants) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations[format] = append(t.violations[format], fmt.Sprintf(format, args...))
}

func tenantJob(tenant int, n uint32) string {
	return fmt.Sprintf("%s%d%07x", tenantPrefix, tenant, n&0xfffffff)
}

// tenantOf returns the tenant of a job, or false if it has none.
func tenantOf(id string) (int, bool) {
	for i := range tenantCount {
		if len(id) > len(tenantPrefix) && id[:len(tenantPrefix)] == tenantPrefix && id[len(tenantPrefix)] == byte('0'+i) {
			return i, true
		}
	}
	return 0, false
}

// change changes the cap of a tenant or withdraws or returns a key, up to changeBurst times at once.
func (t *tenants) change() {
	for range 1 + t.intN(changeBurst) {
		tenant := t.intN(tenantCount)
		if t.intN(2) == 0 {
			limit := tenantCaps[t.intN(len(tenantCaps))]
			t.config.change(tenant, func(c *configTenant) { c.Cap.CPU = limit })
			continue
		}
		t.config.change(tenant, func(c *configTenant) { t.setKey(c, tenant, len(c.Keys) == 1) })
	}
}

// setKey withdraws or returns the key of a tenant that changes.
func (t *tenants) setKey(c *configTenant, tenant int, present bool) {
	c.Keys = []string{tenantKey(tenant, keptKey)}
	if present {
		c.Keys = append(c.Keys, tenantKey(tenant, changingKey))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.KeyChanges++
}

// submit submits a job of a tenant with one of its keys until it is accepted, and waits for its end.
func (t *tenants) submit(tenant int) {
	t.mu.Lock()
	id := tenantJob(tenant, t.random.Uint32())
	t.mu.Unlock()
	body := tenantBody(id, tenantWidth)
	for range maxAttempts {
		status := t.call(http.MethodPost, tenant, tenantKey(tenant, t.intN(2)), id, body, nil)
		t.k.callers.note(id, status)
		if status == http.StatusOK {
			t.count(func(c *TenantCounts) { c.Accepted++ })
			t.await(tenant, id)
			return
		}
		time.Sleep(retryDelay.Duration())
	}
}

func tenantBody(id string, tasks int) []byte {
	b, err := json.Marshal(map[string]any{"spec": id, "phases": []map[string]any{{"count": tasks, "cpu": taskCPU}}})
	if err != nil {
		// Can't happen: all fields are plain values.
		panic(err)
	}
	return b
}

// await waits for the end of a job, and checks that another tenant can't read it.
func (t *tenants) await(tenant int, id string) {
	stranger := (tenant + 1) % tenantCount
	if t.call(http.MethodGet, stranger, tenantKey(stranger, keptKey), id, nil, nil) == http.StatusOK {
		t.violate("%s was read by tenant %d", id, stranger)
	}
	var a struct {
		State string `json:"state"`
	}
	for end := time.Now().Add(tenantWait.Duration()); time.Now().Before(end) && a.State != "completed"; {
		time.Sleep(retryDelay.Duration())
		t.call(http.MethodGet, tenant, tenantKey(tenant, t.intN(2)), id, nil, &a)
	}
}

// call sends a request with a key of a tenant to a random host and judges the status of the answer.
func (t *tenants) call(method string, tenant int, key, id string, body []byte, answer any) int {
	sent := clock.System()
	status := t.k.callers.send(request{method: method, address: t.k.callers.randomAddress(), host: tenantHost, key: key, id: id, body: body}, answer)
	t.judge(method, tenant, key, id, status, sent)
	return status
}

// probe submits a job without a key or with one that no version has ever had, which nobody may accept.
func (t *tenants) probe() {
	known := tenantKey(t.intN(tenantCount), keptKey)
	key := []string{"", known[1:], known + "0", known + " " + known, fmt.Sprintf("gk-%d", t.intN(1<<30))}[t.intN(5)]
	t.mu.Lock()
	id := fmt.Sprintf("0bad%012x", t.random.Uint64()>>16)
	t.unkeyed = append(t.unkeyed, id)
	t.mu.Unlock()
	status := t.k.callers.send(request{method: http.MethodPost, address: t.k.callers.randomAddress(), host: tenantHost, key: key, id: id, body: tenantBody(id, 1)}, nil)
	if status == http.StatusOK {
		t.violate("%s was accepted with the key %q, which no configuration has ever had", id, key)
	}
	if status == http.StatusUnauthorized {
		t.count(func(c *TenantCounts) { c.UnknownRefused++ })
	}
}

// checkCaps checks what the tenants run on all workers. It is called by the workers after each start.
func (t *tenants) checkCaps(running []scheduler.TaskName) {
	held := [tenantCount]int{}
	for _, n := range running {
		if i, ok := tenantOf(n.Job); ok {
			held[i] += taskCPU
		}
	}
	now := clock.System()
	for i, h := range held {
		limit := t.config.highestCap(i, now-capWindow, now)
		excess := h > limit+limit/toleratedExcess+taskCPU
		t.count(func(c *TenantCounts) { c.noteHeld(h, excess) })
		if excess {
			t.violate("tenant %d holds %d thousandths of a core at %s, its highest cap in %d ms is %d", i, h, now, configApply+capWindow, limit)
		}
	}
}

// finish ends the callers and adds the counts and violations to r.
func (t *tenants) finish(r *Result) {
	close(t.stopCallers)
	t.callers.Wait()
	for _, id := range t.unkeyed {
		if t.k.pool.Started(id) {
			t.violate("%s ran, but was never submitted with the key of a tenant", id)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	r.Counts.Tenants = &counts
	for _, format := range slices.Sorted(maps.Keys(t.violations)) {
		vs := t.violations[format]
		r.Violations = append(r.Violations, vs[:min(maxRepeated, len(vs))]...)
		if n := len(vs) - maxRepeated; n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%d more like the last one", n))
		}
	}
}
