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
	"time"

	"galenawharf.example/galenawharf/clock"
)

type (
	// callers submit jobs and remember what they were told.
	callers struct {
		addresses []string
		client    *http.Client
		cancel    context.CancelFunc
		ctx       context.Context
		group     sync.WaitGroup
		mu        sync.Mutex
		random    *rand.Rand
		jobs      map[string]*asked
	}

	// asked is what a caller knows of a job.
	asked struct {
		accepted bool
		// open is whether an answer left the fate of the job open.
		open bool
	}
)

const (
	callerCount = 4
	callLimit   = 3 * clock.Second
	tries       = 6
	retryPause  = 300 * clock.Millis(1)
	paceMost    = 300
	askEvery    = 500 * clock.Millis(1)
)

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

func newCallers(seed uint64, addresses []string) *callers {
	c := &callers{addresses: addresses, client: &http.Client{Timeout: callLimit.Duration()}, random: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*asked{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// begin starts the callers.
func (c *callers) begin() {
	for range callerCount {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			for c.ctx.Err() == nil {
				c.submit()
				time.Sleep(time.Duration(c.draw(paceMost)) * time.Millisecond)
			}
		}()
	}
}

func (c *callers) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// submit hands in a job at one host after the other until it knows its fate.
func (c *callers) submit() {
	c.mu.Lock()
	id := fmt.Sprintf("%016x", c.random.Uint64())
	body, err := json.Marshal(map[string]any{"spec": id, "phases": []map[string]any{
		{"count": 1 + c.random.IntN(3), "cpu": 1000}, {"count": 1 + c.random.IntN(2), "cpu": 1000, "after": []int{0}},
	}})
	a := &asked{}
	c.jobs[id] = a
	c.mu.Unlock()
	if err != nil {
		return
	}
	for range tries {
		status := c.call(http.MethodPost, id, body, nil)
		c.mu.Lock()
		a.accepted = a.accepted || status == http.StatusOK
		a.open = a.open || status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
		accepted := a.accepted
		c.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(retryPause.Duration())
	}
}

// call returns the status of a request to some host, 0 without an answer.
func (c *callers) call(method, id string, body []byte, answer any) int {
	address := c.addresses[c.draw(len(c.addresses))]
	r, err := http.NewRequest(method, "http://"+address+"/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "soak.example"
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

// finish ends the callers, waits until all accepted jobs are completed, and returns
// what was promised and not kept.
func (c *callers) finish(calm clock.Millis) []string {
	c.cancel()
	c.group.Wait()
	over := time.Now().Add(calm.Duration())
	left := c.accepted()
	states := map[string]string{}
	for len(left) > 0 && time.Now().Before(over) {
		left = slices.DeleteFunc(left, func(id string) bool {
			var a struct {
				State string `json:"state"`
			}
			status := c.call(http.MethodGet, id, nil, &a)
			states[id] = fmt.Sprint(status, " ", a.State)
			return a.State == "completed"
		})
		time.Sleep(askEvery.Duration())
	}
	var faults []string
	for _, id := range left {
		faults = append(faults, fmt.Sprintf("%s was accepted and is not completed; the last answer was %s", id, states[id]))
	}
	return faults
}

func (c *callers) accepted() []string {
	return c.where(func(a *asked) bool { return a.accepted })
}

// neverAccepted returns the jobs that every answer refused.
func (c *callers) neverAccepted() []string {
	return c.where(func(a *asked) bool { return !a.accepted && !a.open })
}

func (c *callers) where(f func(*asked) bool) []string {
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

func (c *callers) counts() (accepted, refused int) {
	return len(c.accepted()), len(c.neverAccepted())
}
