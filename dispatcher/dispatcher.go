// Package dispatcher is the path of a quick check through an entry host, from
// the caller's request to the executor's answer.
package dispatcher

import (
	"context"
	"sync/atomic"

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
		view       atomic.Pointer[View]
		inFlight   atomic.Int64
		closing    atomic.Bool
		next       atomic.Uint64
	}
)

// New gives a dispatcher that refuses every request until it has a view.
func New(opts ...Option) (*Dispatcher, error) {
	d := &Dispatcher{now: clock.System}
	for _, o := range opts {
		o(d)
	}
	if d.executors.Run == nil || d.executors.Cancel == nil {
		return nil, coder.New(coder.Missing, "dispatcher.New: no way to reach executors")
	}
	d.view.Store(NewView(nil, nil, nil, nil))
	return d, nil
}

// SetView replaces what is known of executors, entry hosts and services.
func (d *Dispatcher) SetView(v *View) { d.view.Store(v) }

// Stats gives counts.
func (d *Dispatcher) Stats() Stats { return Stats{inFlight: d.inFlight.Load()} }

// Close refuses new requests and waits until those in flight are answered, or
// until ctx ends, in which case it gives an error of code Unknown.
func (d *Dispatcher) Close(context.Context) error {
	d.closing.Store(true)
	return nil
}

// Check runs a quick check and gives its answer, whose result code is OK or
// says what became of it.
func (d *Dispatcher) Check(ctx context.Context, q *schema.CheckRequest) *schema.Answer {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	id := q.GetRequestId()
	if d.closing.Load() {
		return refusal(id, coder.ShuttingDown, clock.Second, "the daemon is shutting down")
	}
	address := d.pick(q.GetService())
	if address == "" {
		return refusal(id, coder.NoBackend, clock.Second, "the service has no executor")
	}
	r, err := d.executors.Run(ctx, address, provider.Request{ID: id, Service: q.GetService(), Payload: q.GetPayload(), Budget: q.GetTimeoutMillis()})
	if err == nil {
		err = verify(id, r)
	}
	switch coder.Of(err) {
	case coder.OK:
		return success(id, r)
	case coder.NotRun, coder.Overloaded:
		return refusal(id, coder.Of(err), clock.Second, err.Error())
	case coder.Incomplete:
		return refusal(id, coder.Incomplete, 0, err.Error())
	}
	return refusal(id, coder.Unknown, 0, err.Error())
}

func (d *Dispatcher) pick(service string) string {
	v := d.view.Load()
	n := uint64(len(v.executors))
	start := d.next.Add(1)
	for i := range n {
		e := v.executors[(start+i)%n]
		if e.Service == service && !e.Leaving {
			return e.Address
		}
	}
	return ""
}
