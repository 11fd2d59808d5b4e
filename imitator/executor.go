package imitator

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Executor is a fake executor with injectable faults. It is safe for concurrent use.
	Executor struct {
		mu          sync.Mutex
		slots       chan struct{}
		wait        func(ctx context.Context, m clock.Millis) error
		serviceTime func(provider.Request) clock.Millis
		waiting     int
		runs        map[string]int
		cancelled   map[string]bool
		faults      ExecutorFaults
		leaving     bool
	}

	// ExecutorFaults are the faults that an Executor injects.
	ExecutorFaults struct {
		// Down makes it refuse every request.
		Down bool `json:"down"`
		// Silent makes it accept requests and never answer.
		Silent bool `json:"silent"`
		// LoseAnswers is how many of the next requests run but return an error instead
		// of the response.
		LoseAnswers int `json:"lose-answers"`
		// CutAnswers is how many of the next responses lack the last byte of the
		// payload.
		CutAnswers int `json:"cut-answers"`
		// Slower is added to the duration of each request.
		Slower clock.Millis `json:"slower"`
	}
)

// NewExecutor returns an idle executor that runs at most slots requests at once.
// serviceTime returns the duration of a request, and wait sleeps for it.
func NewExecutor(slots int, wait func(context.Context, clock.Millis) error, serviceTime func(provider.Request) clock.Millis) *Executor {
	return &Executor{
		slots:       make(chan struct{}, slots),
		wait:        wait,
		serviceTime: serviceTime,
		runs:        map[string]int{},
		cancelled:   map[string]bool{},
	}
}

// SetFaults sets the faults to inject from now on.
func (e *Executor) SetFaults(f ExecutorFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the faults that are being injected.
func (e *Executor) Faults() ExecutorFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetLeaving sets whether responses report that the executor is leaving.
func (e *Executor) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Ran returns the number of times a request was run.
func (e *Executor) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// ExecutorsOf returns a client of executors. find returns the executor with an address,
// or nil if the address is unreachable.
func ExecutorsOf(find func(address string) *Executor) provider.Executors {
	return provider.Executors{
		Run: func(ctx context.Context, address string, r provider.Request) (provider.Response, error) {
			e := find(address)
			if e == nil {
				return provider.Response{}, coder.New(coder.Unreachable, "Executor: no such address")
			}
			return e.run(ctx, r)
		},
		Cancel: func(_ context.Context, address, id string) (provider.CancelState, error) {
			e := find(address)
			if e == nil {
				return "", coder.New(coder.Unreachable, "Executor: no such address")
			}
			return e.cancel(id), nil
		},
	}
}

func (e *Executor) run(ctx context.Context, r provider.Request) (provider.Response, error) {
	f := e.Faults()
	if f.Down {
		return provider.Response{}, coder.New(coder.NotRun, "Executor: requests are refused")
	}
	if err := e.acquireSlot(ctx); err != nil {
		return provider.Response{}, coder.New(coder.NotRun, "Executor: no slot became free in time")
	}
	defer func() { <-e.slots }()
	if !e.markStarted(r.ID) {
		return provider.Response{}, coder.New(coder.NotRun, "Executor: the request was cancelled")
	}
	if f.Silent {
		<-ctx.Done()
		return provider.Response{}, ctx.Err()
	}
	if err := e.wait(ctx, e.serviceTime(r)+f.Slower); err != nil {
		return provider.Response{}, err
	}
	return e.respond(r)
}

func (e *Executor) acquireSlot(ctx context.Context) error {
	e.addWaiting(1)
	defer e.addWaiting(-1)
	select {
	case e.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Executor) addWaiting(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
}

// markStarted counts a run of the request and returns true, unless the request was
// cancelled before: then it must not run.
func (e *Executor) markStarted(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelled[id] {
		return false
	}
	e.runs[id]++
	return true
}

func (e *Executor) cancel(id string) provider.CancelState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[id] > 0 {
		return provider.CancelRunning
	}
	e.cancelled[id] = true
	return provider.CancelNotRun
}

func (e *Executor) respond(r provider.Request) (provider.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseAnswers > 0 {
		e.faults.LoseAnswers--
		return provider.Response{}, errResponseLost
	}
	payload := append([]byte("checked: "), r.Payload...)
	a := provider.Response{
		ID:      r.ID,
		Payload: payload,
		Length:  int64(len(payload)),
		Digest:  DigestOf(payload),
		Busy:    len(e.slots),
		Waiting: e.waiting,
		Leaving: e.leaving,
	}
	if e.faults.CutAnswers > 0 {
		e.faults.CutAnswers--
		a.Payload = payload[:len(payload)-1]
	}
	return a, nil
}

// DigestOf returns the xxhash of a payload in hexadecimal, as executors send it.
func DigestOf(payload []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(payload)) }
