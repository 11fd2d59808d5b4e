package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// callers submits jobs from several goroutines and records how each was answered.
	callers struct {
		addresses []string
		client    *http.Client
		cancel    context.CancelFunc
		ctx       context.Context
		group     sync.WaitGroup
		mu        sync.Mutex
		random    *rand.Rand
		jobs      map[string]*jobState
		// keysDemanded counts the calls on the public route that were refused for want of a key.
		keysDemanded atomic.Int64
	}

	// jobState records how the submissions of a job were answered.
	jobState struct {
		accepted bool
		// uncertain is set if a submission got neither an acceptance nor a refusal, so that
		// the job may have been accepted.
		uncertain bool
	}

	// request is a request for a job to the daemon at an address. host is that of the route.
	request struct {
		method, address, host, key, id string
		body                           []byte
	}
)

const (
	callerCount        = 4
	callTimeout        = 3 * clock.Second
	maxAttempts        = 6
	retryDelay         = 300 * clock.Millis(1)
	maxSubmitGapMillis = 300
	// startTimeout is how long the first acceptance of a job may take without any fault.
	startTimeout = 15 * clock.Second
	pollInterval = 500 * clock.Millis(1)
	// publicHost is the host of the route that needs no key.
	publicHost = "soak.example"
	keyHeader  = "X-Api-Key"
)

// clearAnswers are the answers to a submission that tell its outcome: an acceptance or a refusal.
var clearAnswers = []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized}

func newCallers(seed uint64, addresses []string) *callers {
	c := &callers{addresses: addresses, client: &http.Client{Timeout: callTimeout.Duration()}, random: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*jobState{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// start starts callerCount callers, which submit jobs until finish stops them.
func (c *callers) start() {
	for range callerCount {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			for c.ctx.Err() == nil {
				c.submit()
				time.Sleep(time.Duration(c.intN(maxSubmitGapMillis)) * time.Millisecond)
			}
		}()
	}
}

// awaitAcceptance waits until a job was accepted, and reports whether one was in time.
func (c *callers) awaitAcceptance() bool {
	deadline := time.Now().Add(startTimeout.Duration())
	for len(c.accepted()) == 0 {
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(retryDelay.Duration())
	}
	return true
}

// intN returns a random number below n. It is safe for concurrent use.
func (c *callers) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// submit submits a new job to random hosts, until one accepts it or maxAttempts is reached.
func (c *callers) submit() {
	c.mu.Lock()
	id := fmt.Sprintf("%016x", c.random.Uint64())
	body, err := json.Marshal(map[string]any{"spec": id, "phases": []map[string]any{
		{"count": 1 + c.random.IntN(3), "cpu": 1000}, {"count": 1 + c.random.IntN(2), "cpu": 1000, "after": []int{0}},
	}})
	c.mu.Unlock()
	if err != nil {
		return
	}
	for range maxAttempts {
		status := c.call(http.MethodPost, id, body, nil)
		c.note(id, status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(retryDelay.Duration())
	}
}

// call sends a request for a job to a random host, decodes the body of a successful response
// into answer, and returns the HTTP status, or 0 without a valid response.
func (c *callers) call(method, id string, body []byte, answer any) int {
	status := c.send(request{method: method, address: c.randomAddress(), host: publicHost, id: id, body: body}, answer)
	if status == http.StatusUnauthorized {
		c.keysDemanded.Add(1)
	}
	return status
}

// read reads the state of a job into answer. One of a tenant is known only on the route of the tenants.
func (c *callers) read(id string, answer any) int {
	tenant, ok := tenantOf(id)
	if !ok {
		return c.call(http.MethodGet, id, nil, answer)
	}
	return c.send(request{method: http.MethodGet, address: c.randomAddress(), host: tenantHost, key: tenantKey(tenant, keptKey), id: id}, answer)
}

func (c *callers) randomAddress() string { return c.addresses[c.intN(len(c.addresses))] }

// send sends a request, decodes the body of a successful response into answer, and returns the
// HTTP status, or 0 without a valid response.
func (c *callers) send(q request, answer any) int {
	r, err := http.NewRequest(q.method, "http://"+q.address+"/jobs/"+q.id, bytes.NewReader(q.body))
	if err != nil {
		return 0
	}
	r.Host = q.host
	if q.key != "" {
		r.Header.Set(keyHeader, q.key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if answer != nil && resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
			return 0
		}
	}
	return resp.StatusCode
}

// note records the status of the answer to a submission.
func (c *callers) note(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		j = &jobState{}
		c.jobs[id] = j
	}
	j.accepted = j.accepted || status == http.StatusOK
	j.uncertain = j.uncertain || !slices.Contains(clearAnswers, status)
}

// stop stops the submissions.
func (c *callers) stop() {
	c.cancel()
	c.group.Wait()
}

// finish stops the callers and waits until all accepted jobs are completed, or have failed if mayFail
// returns true for them. It returns the number of the latter, and a message for each accepted job that
// is neither after the timeout.
func (c *callers) finish(timeout clock.Millis, mayFail func(id string) bool) (failed int, violations []string) {
	c.stop()
	deadline := time.Now().Add(timeout.Duration())
	pending := c.accepted()
	lastAnswers := map[string]string{}
	for len(pending) > 0 && time.Now().Before(deadline) {
		pending = slices.DeleteFunc(pending, func(id string) bool {
			var a struct {
				State string `json:"state"`
			}
			status := c.read(id, &a)
			lastAnswers[id] = fmt.Sprint(status, " ", a.State)
			if a.State == "failed" && mayFail(id) {
				failed++
				return true
			}
			return a.State == "completed"
		})
		time.Sleep(pollInterval.Duration())
	}
	for _, id := range pending {
		violations = append(violations, fmt.Sprintf("%s was accepted and is not completed; the last answer was %s", id, lastAnswers[id]))
	}
	return failed, violations
}

func (c *callers) accepted() []string {
	return c.filter(func(a *jobState) bool { return a.accepted })
}

// refused returns the jobs for which every submission was refused.
func (c *callers) refused() []string {
	return c.filter(func(a *jobState) bool { return !a.accepted && !a.uncertain })
}

// filter returns the sorted IDs of the jobs for which f returns true.
func (c *callers) filter(f func(*jobState) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, a := range c.jobs {
		if f(a) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
