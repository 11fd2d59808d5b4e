package server

import (
	"context"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	operators struct {
		backend Backend
		result  func(coder.Code)
	}
)

const (
	maxItems = 10_000
	maxAudit = 10_000
)

// Apply changes declarations.
func (o *operators) Apply(ctx context.Context, r *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	v := &checks{}
	v.name("operator", r.Msg.GetOperator())
	if n := len(r.Msg.GetItems()); n == 0 || n > maxItems {
		v.add(coder.OutOfRange, "items", "%d is not between 1 and %d", n, maxItems)
	}
	return respond(ctx, o, v, r.Msg, o.backend.Apply)
}

// Get reads declarations.
func (o *operators) Get(ctx context.Context, r *connect.Request[schema.GetRequest]) (*connect.Response[schema.GetResponse], error) {
	return respond(ctx, o, &checks{}, r.Msg, o.backend.Get)
}

// Cancel ends submitted work.
func (o *operators) Cancel(ctx context.Context, r *connect.Request[schema.CancelRequest]) (*connect.Response[schema.CancelResponse], error) {
	v := &checks{}
	v.name("operator", r.Msg.GetOperator())
	v.name("key", r.Msg.GetKey())
	return respond(ctx, o, v, r.Msg, o.backend.Cancel)
}

// Drain takes a data centre or host out, or brings it back.
func (o *operators) Drain(ctx context.Context, r *connect.Request[schema.DrainRequest]) (*connect.Response[schema.DrainResponse], error) {
	v := &checks{}
	v.name("operator", r.Msg.GetOperator())
	v.name("name", r.Msg.GetName())
	if k := r.Msg.GetKind(); k != "data-centre" && k != "host" {
		v.add(coder.BadFormat, "kind", "%q is neither data-centre nor host", k)
	}
	return respond(ctx, o, v, r.Msg, o.backend.Drain)
}

// Forecast gives a month's bill.
func (o *operators) Forecast(ctx context.Context, r *connect.Request[schema.ForecastRequest]) (*connect.Response[schema.ForecastResponse], error) {
	return respond(ctx, o, &checks{}, r.Msg, o.backend.Forecast)
}

// Explain says why a month's bill is what it is.
func (o *operators) Explain(ctx context.Context, r *connect.Request[schema.ExplainRequest]) (*connect.Response[schema.ExplainResponse], error) {
	return respond(ctx, o, &checks{}, r.Msg, o.backend.Explain)
}

// Audit reads the trail of changes.
func (o *operators) Audit(ctx context.Context, r *connect.Request[schema.AuditRequest]) (*connect.Response[schema.AuditResponse], error) {
	v := &checks{}
	if n := r.Msg.GetLimit(); n < 0 || n > maxAudit {
		v.add(coder.OutOfRange, "limit", "%d is not between 0 and %d", n, maxAudit)
	}
	return respond(ctx, o, v, r.Msg, o.backend.Audit)
}

func respond[In, Out any](ctx context.Context, o *operators, v *checks, in *In, f func(context.Context, *In) (*Out, error)) (*connect.Response[Out], error) {
	if v.fault != nil {
		o.result(v.fault.Code())
		return nil, failure(v.fault)
	}
	out, err := f(ctx, in)
	o.result(coder.Of(err))
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(out), nil
}
