// Package dispatcher runs checks on executors for an entry host: it admits and queues
// requests, picks executors, and retries, hedges and cancels attempts. An attempt is one
// request sent to one executor. An attempt is silent if it gets no response within a timeout
// derived from the latency of the service.
package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Dispatcher runs checks on executors. It is safe for concurrent use.
	Dispatcher struct {
		executors  provider.Executors
		now        func() clock.Millis
		seed       uint64
		name       string
		dataCentre string
		policy     policy

		viewer     *viewer
		snapshot   atomic.Pointer[snapshot]
		calls      *callCache
		counts     counts
		scheduler  *scheduler
		controller *controller

		inFlight atomic.Int64
		closing  atomic.Bool
		// drained is closed after Close was called and the last request was answered.
		drained     chan struct{}
		drainedOnce sync.Once
		baseCtx     context.Context
		stop        context.CancelFunc
		goroutines  sync.WaitGroup
	}
)

const (
	defaultTimeout = 5 * clock.Second
	maxTimeout     = clock.Minute
)

// New returns a dispatcher that refuses every request until the first call of SetView. It
// returns an error of code Missing if WithExecutors is not among the options.
func New(opts ...Option) (*Dispatcher, error) {
	d := &Dispatcher{now: clock.System, policy: defaultPolicy, calls: newCallCache(), drained: make(chan struct{})}
	for _, o := range opts {
		o(d)
	}
	if d.executors.Run == nil || d.executors.Cancel == nil {
		return nil, coder.New(coder.Missing, "dispatcher.New: WithExecutors is required")
	}
	d.baseCtx, d.stop = context.WithCancel(context.Background())
	d.viewer = newViewer(d.name, d.dataCentre)
	d.snapshot.Store(&snapshot{})
	d.viewer.share = d.policy.share
	d.scheduler = newScheduler(d.now, d.snapshot.Load, d.policy)
	d.controller = newController(d.now, d.snapshot.Load, d.calls, d.policy)
	d.goroutines.Go(func() { d.scheduler.run(d.baseCtx.Done()) })
	d.goroutines.Go(func() { d.controller.run(d.baseCtx.Done()) })
	return d, nil
}

// SetView replaces the known executors, entry hosts, services and data centres.
func (d *Dispatcher) SetView(v *View) {
	s := d.viewer.snapshotOf(v)
	d.snapshot.Store(s)
	for _, r := range s.routes {
		r.pool.Refresh()
		r.updateSlots()
	}
	d.scheduler.trigger()
}

// Close refuses new requests and waits until those in flight are answered. If ctx ends
// first, it answers them at once and returns an error of code Unknown with their number.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.closing.Store(true)
	var err error
	if d.inFlight.Load() > 0 {
		select {
		case <-d.drained:
		case <-ctx.Done():
			err = coder.New(coder.Unknown, "Dispatcher.Close: %d requests were unanswered when the context ended", d.inFlight.Load())
		}
	}
	d.stop()
	d.goroutines.Wait()
	return err
}

// Check runs a check and returns its answer within the request's timeout. The result code
// is OK or the reason for the failure. A request that repeats one in flight, or one
// answered successfully not long ago, gets the same answer.
func (d *Dispatcher) Check(ctx context.Context, q *schema.CheckRequest) *schema.Answer {
	d.inFlight.Add(1)
	defer d.endRequest()
	a := d.check(ctx, q)
	d.counts.record(a)
	return a
}

func (d *Dispatcher) check(ctx context.Context, q *schema.CheckRequest) *schema.Answer {
	id := q.GetRequestId()
	if d.closing.Load() {
		return failure(id, coder.ShuttingDown, retryAfter(0, xxhash.Sum64String(id)), shuttingDown)
	}
	if err := checkRequest(q); err != nil {
		return failure(id, err.Code(), 0, err.Error())
	}
	route := d.snapshot.Load().routes[q.GetService()]
	if route == nil {
		return failure(id, coder.NoBackend, retryAfter(clock.Second, xxhash.Sum64String(id)), noExecutor)
	}
	timeout := timeoutOf(q)
	c, created, err := d.joinCall(q, timeout)
	if err != nil {
		return failure(id, err.Code(), 0, err.Error())
	}
	if created {
		d.goroutines.Go(func() { d.serveCall(c, q, route, timeout) })
		return c.await(ctx, d, id, clock.Never)
	}
	return c.await(ctx, d, id, timeout)
}

// serveCall runs a call and publishes its answer. Only successful calls stay cached.
func (d *Dispatcher) serveCall(c *call, q *schema.CheckRequest, route *route, timeout clock.Millis) {
	r := &run{
		dispatcher: d,
		call:       c,
		route:      route,
		id:         q.GetRequestId(),
		team:       q.GetTeam(),
		request:    provider.Request{ID: q.GetTeam() + "/" + q.GetRequestId(), Service: q.GetService(), Payload: q.GetPayload()},
		deadline:   d.now() + timeout,
		seed:       d.seed ^ xxhash.Sum64String(q.GetRequestId()),
		results:    make(chan result, 2*cap(run{}.attempts)),
	}
	a := r.serve()
	if coder.Code(a.GetResultCode()) == coder.OK {
		d.calls.addBytes(len(a.GetPayload()))
	} else {
		d.calls.remove(keyOf(q), c)
	}
	c.finish(a)
}

// joinCall adds the caller to the call of a request, or creates the call. It returns an error
// of code KeyTaken if the request id belongs to a different request of the team.
func (d *Dispatcher) joinCall(q *schema.CheckRequest, timeout clock.Millis) (c *call, created bool, err *coder.Error) {
	payloadHash := xxhash.Sum64(q.GetPayload())
	candidate := newCall(d.baseCtx, q.GetService(), payloadHash, timeout)
	for {
		c, created = d.calls.loadOrStore(keyOf(q), candidate)
		if created {
			return c, true, nil
		}
		if !c.matches(q.GetService(), payloadHash) {
			candidate.cancel()
			return nil, false, coder.At(coder.KeyTaken, "$.request-id", "the id is in use by another request of the team")
		}
		if c.addCaller() {
			candidate.cancel()
			return c, false, nil
		}
		d.calls.remove(keyOf(q), c)
	}
}

// endRequest marks a request as answered, and wakes Close after the last one.
func (d *Dispatcher) endRequest() {
	if d.inFlight.Add(-1) == 0 && d.closing.Load() {
		d.drainedOnce.Do(func() { close(d.drained) })
	}
}

func keyOf(q *schema.CheckRequest) callKey { return callKey{team: q.GetTeam(), id: q.GetRequestId()} }

func timeoutOf(q *schema.CheckRequest) clock.Millis {
	if q.GetTimeoutMillis() == 0 {
		return defaultTimeout
	}
	return min(clock.Millis(q.GetTimeoutMillis()), maxTimeout)
}

// checkRequest returns an error if a request is invalid.
func checkRequest(q *schema.CheckRequest) *coder.Error {
	switch {
	case q.GetRequestId() == "":
		return coder.At(coder.Missing, "$.request-id", "the request id is missing")
	case q.GetService() == "":
		return coder.At(coder.Missing, "$.service", "the service is missing")
	case q.GetTimeoutMillis() < 0:
		return coder.At(coder.OutOfRange, "$.timeout-millis", "the timeout must not be negative")
	}
	return nil
}
