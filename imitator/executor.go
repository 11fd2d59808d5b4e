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
	// Executor is a stand-in for an executor. It is safe for concurrent use.
	Executor struct {
		mu      sync.Mutex
		slots   chan struct{}
		wait    func(ctx context.Context, m clock.Millis) error
		service func(provider.Request) clock.Millis
		waiting int
		ran     map[string]int
		called  map[string]bool
		faults  ExecutorFaults
		leaving bool
	}

	// ExecutorFaults are the switches of an Executor.
	ExecutorFaults struct {
		// Down refuses every request.
		Down bool `json:"down"`
		// Silent takes requests and never answers.
		Silent bool `json:"silent"`
		// LoseAnswers is how many of the next requests run without an answer.
		LoseAnswers int `json:"lose-answers"`
		// CutAnswers is how many of the next answers lack their last byte.
		CutAnswers int `json:"cut-answers"`
		// Slower is added to the time that each request takes.
		Slower clock.Millis `json:"slower"`
	}
)

// NewExecutor gives an idle executor. wait passes the time that a request
// takes, and service says how much that is.
func NewExecutor(slots int, wait func(context.Context, clock.Millis) error, service func(provider.Request) clock.Millis) *Executor {
	return &Executor{
		slots:   make(chan struct{}, slots),
		wait:    wait,
		service: service,
		ran:     map[string]int{},
		called:  map[string]bool{},
	}
}

// SetFaults sets the switches.
func (e *Executor) SetFaults(f ExecutorFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults gives the switches.
func (e *Executor) Faults() ExecutorFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetLeaving makes the executor say that it is leaving.
func (e *Executor) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Ran gives how often a request was run.
func (e *Executor) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// ExecutorsOf gives executors as daemons see them, by address.
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
		return provider.Response{}, coder.New(coder.NotRun, "Executor: it takes no requests")
	}
	if err := e.enter(ctx); err != nil {
		return provider.Response{}, coder.New(coder.NotRun, "Executor: no slot came free in time")
	}
	defer func() { <-e.slots }()
	if !e.begin(r.ID) {
		return provider.Response{}, coder.New(coder.NotRun, "Executor: the request was called off")
	}
	if f.Silent {
		<-ctx.Done()
		return provider.Response{}, ctx.Err()
	}
	if err := e.wait(ctx, e.service(r)+f.Slower); err != nil {
		return provider.Response{}, err
	}
	return e.answer(r)
}

func (e *Executor) enter(ctx context.Context) error {
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

func (e *Executor) begin(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.called[id] {
		return false
	}
	e.ran[id]++
	return true
}

func (e *Executor) cancel(id string) provider.CancelState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ran[id] > 0 {
		return provider.CancelRunning
	}
	e.called[id] = true
	return provider.CancelNotRun
}

func (e *Executor) answer(r provider.Request) (provider.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseAnswers > 0 {
		e.faults.LoseAnswers--
		return provider.Response{}, errAnswerLost
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

// DigestOf gives the digest of a payload as executors state it.
func DigestOf(payload []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(payload)) }
