// Package dispatcher is the path of a quick check through an entry host, from
// the caller's request to the executor's answer.
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
	// Dispatcher runs quick checks on executors. It is safe for concurrent use.
	Dispatcher struct {
		executors  provider.Executors
		now        func() clock.Millis
		seed       uint64
		name       string
		dataCentre string
		policy     policy

		viewer     *viewer
		snapshot   atomic.Pointer[snapshot]
		calls      *calls
		counts     counts
		scheduler  *scheduler
		controller *controller

		inFlight atomic.Int64
		closing  atomic.Bool
		idle     chan struct{}
		idleOnce sync.Once
		base     context.Context
		stop     context.CancelFunc
		tasks    sync.WaitGroup
	}
)

const (
	defaultTimeout = 5 * clock.Second
	maxTimeout     = clock.Minute
)

// New gives a dispatcher that refuses every request until it has a view.
func New(opts ...Option) (*Dispatcher, error) {
	d := &Dispatcher{now: clock.System, policy: defaultPolicy, calls: newCalls(), idle: make(chan struct{})}
	for _, o := range opts {
		o(d)
	}
	if d.executors.Run == nil || d.executors.Cancel == nil {
		return nil, coder.New(coder.Missing, "dispatcher.New: no way to reach executors")
	}
	d.base, d.stop = context.WithCancel(context.Background())
	d.viewer = newViewer(d.name, d.dataCentre)
	d.snapshot.Store(&snapshot{})
	d.viewer.share = d.policy.share
	d.scheduler = newScheduler(d.now, d.snapshot.Load, d.policy)
	d.controller = newController(d.now, d.snapshot.Load, d.calls, d.policy)
	d.tasks.Go(func() { d.scheduler.run(d.base.Done()) })
	d.tasks.Go(func() { d.controller.run(d.base.Done()) })
	return d, nil
}

// SetView replaces what is known of executors, entry hosts and services.
func (d *Dispatcher) SetView(v *View) {
	s := d.viewer.snapshotOf(v)
	d.snapshot.Store(s)
	for _, r := range s.routes {
		r.pool.Refresh()
		r.measure()
	}
	d.scheduler.nudge()
}

// Close refuses new requests and waits until those in flight are answered.
// When ctx ends before that, they are answered at once with what is known, and the error, of code
// Unknown, says how many there were.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.closing.Store(true)
	var err error
	if d.inFlight.Load() > 0 {
		select {
		case <-d.idle:
		case <-ctx.Done():
			err = coder.New(coder.Unknown, "Dispatcher.Close: %d requests had no answer in time", d.inFlight.Load())
		}
	}
	d.stop()
	d.tasks.Wait()
	return err
}

// Check runs a quick check and gives its answer, whose result code is OK or
// says what became of it. The answer comes by the request's timeout. A
// request in flight that is sent again gets the same answer.
func (d *Dispatcher) Check(ctx context.Context, q *schema.CheckRequest) *schema.Answer {
	d.inFlight.Add(1)
	defer d.leave()
	a := d.check(ctx, q)
	d.counts.count(a)
	return a
}

func (d *Dispatcher) check(ctx context.Context, q *schema.CheckRequest) *schema.Answer {
	id := q.GetRequestId()
	if d.closing.Load() {
		return refusal(id, coder.ShuttingDown, retryAfter(0, xxhash.Sum64String(id)), shuttingDown)
	}
	if err := checkRequest(q); err != nil {
		return refusal(id, err.Code(), 0, err.Error())
	}
	route := d.snapshot.Load().routes[q.GetService()]
	if route == nil {
		return refusal(id, coder.NoBackend, retryAfter(clock.Second, xxhash.Sum64String(id)), noExecutor)
	}
	timeout := timeoutOf(q)
	c, first, err := d.join(q, timeout)
	if err != nil {
		return refusal(id, err.Code(), 0, err.Error())
	}
	if first {
		d.tasks.Go(func() { d.serve(c, q, route, timeout) })
		return c.await(ctx, d, id, clock.Never)
	}
	return c.await(ctx, d, id, timeout)
}

// serve runs a call to its end.
func (d *Dispatcher) serve(c *call, q *schema.CheckRequest, route *route, timeout clock.Millis) {
	r := &run{
		d:        d,
		c:        c,
		route:    route,
		id:       q.GetRequestId(),
		team:     q.GetTeam(),
		request:  provider.Request{ID: q.GetTeam() + "/" + q.GetRequestId(), Service: q.GetService(), Payload: q.GetPayload()},
		deadline: d.now() + timeout,
		seed:     d.seed ^ xxhash.Sum64String(q.GetRequestId()),
		results:  make(chan result, 2*cap(run{}.attempts)),
	}
	a := r.serve()
	if coder.Code(a.GetResultCode()) == coder.OK {
		d.calls.keep(len(a.GetPayload()))
	} else {
		d.calls.forget(keyOf(q), c)
	}
	c.finish(a)
}

// join finds the call of a request, or begins one.
func (d *Dispatcher) join(q *schema.CheckRequest, timeout clock.Millis) (c *call, first bool, err *coder.Error) {
	payload := xxhash.Sum64(q.GetPayload())
	fresh := newCall(d.base, q.GetService(), payload, timeout)
	for {
		c, first = d.calls.join(keyOf(q), fresh)
		if first {
			return c, true, nil
		}
		if !c.same(q.GetService(), payload) {
			fresh.cancel()
			return nil, false, coder.At(coder.KeyTaken, "$.request-id", "another request of the team has it")
		}
		if c.join() {
			fresh.cancel()
			return c, false, nil
		}
		d.calls.forget(keyOf(q), c)
	}
}

// leave ends a request that was answered.
func (d *Dispatcher) leave() {
	if d.inFlight.Add(-1) == 0 && d.closing.Load() {
		d.idleOnce.Do(func() { close(d.idle) })
	}
}

func keyOf(q *schema.CheckRequest) callKey { return callKey{team: q.GetTeam(), id: q.GetRequestId()} }

func timeoutOf(q *schema.CheckRequest) clock.Millis {
	if q.GetTimeoutMillis() == 0 {
		return defaultTimeout
	}
	return min(clock.Millis(q.GetTimeoutMillis()), maxTimeout)
}

// checkRequest gives what is wrong with a request, or nil.
func checkRequest(q *schema.CheckRequest) *coder.Error {
	switch {
	case q.GetRequestId() == "":
		return coder.At(coder.Missing, "$.request-id", "a request needs an id")
	case q.GetService() == "":
		return coder.At(coder.Missing, "$.service", "a request names its service")
	case q.GetTimeoutMillis() < 0:
		return coder.At(coder.OutOfRange, "$.timeout-millis", "a timeout is not negative")
	}
	return nil
}
