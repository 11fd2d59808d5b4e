package daemon

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/server"
)

const (
	defaultAuditLimit = 50
)

// backend returns the functions that serve requests of callers and operators.
func (d *Daemon) backend() server.Backend {
	return server.Backend{
		Check:    d.check,
		Submit:   d.submit,
		Await:    d.serveAwait,
		Apply:    d.apply,
		Get:      d.get,
		Cancel:   d.cancel,
		Drain:    d.drain,
		Forecast: d.forecast,
		Explain:  d.explain,
		Audit:    d.audit,
	}
}

func (d *Daemon) check(ctx context.Context, r *schema.CheckRequest) *schema.Answer {
	if e := d.notServing(); e != nil {
		return refusal(r.GetRequestId(), e, d.settings.Timing.Heartbeat)
	}
	if r.GetTimeoutMillis() == 0 {
		r.TimeoutMillis = int64(d.settings.Timing.Check)
	}
	d.beginRequest()
	defer d.endRequest()
	if d.inFlight.Load() > int64(d.settings.Limits.Checks) {
		return refusal(r.GetRequestId(), coder.New(coder.Overloaded, "too many requests are in flight here"), clock.Second)
	}
	startedAt := d.now()
	a := d.dispatcher.Check(ctx, r)
	d.metrics.Record(measurer.CheckTime, d.now().Sub(startedAt).Duration())
	return a
}

func (d *Daemon) serveAwait(ctx context.Context, r *schema.AwaitRequest) *schema.Answer {
	d.beginRequest()
	defer d.endRequest()
	return d.await(ctx, r)
}

func (d *Daemon) beginRequest() { d.metrics.Set(measurer.InFlight, float64(d.inFlight.Add(1))) }

func (d *Daemon) endRequest() { d.metrics.Set(measurer.InFlight, float64(d.inFlight.Add(-1))) }

// refusal returns the answer to a request that was not run, with the time after which to
// retry.
func refusal(id string, e *coder.Error, retryAfter clock.Millis) *schema.Answer {
	return &schema.Answer{RequestId: id, ResultCode: int32(e.Code()), Reason: e.Text(), RetryAfterMillis: int64(retryAfter)}
}

func (d *Daemon) audit(_ context.Context, r *schema.AuditRequest) (*schema.AuditResponse, error) {
	if e := d.notServing(); e != nil {
		return nil, e
	}
	limit := int(r.GetLimit())
	if limit == 0 {
		limit = defaultAuditLimit
	}
	if r.GetFromOffset() == 0 {
		return &schema.AuditResponse{Entries: d.trail.Newest(limit)}, nil
	}
	return &schema.AuditResponse{Entries: d.trail.EntriesFrom(provider.Offset(r.GetFromOffset()), limit)}, nil
}
