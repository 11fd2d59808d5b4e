package server

import (
	"context"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// operatorsHandler implements schemaconnect.OperatorsHandler.
	operatorsHandler struct {
		backend     Backend
		countResult func(coder.Code)
	}
)

const (
	maxChangeItems  = 10_000
	maxAuditEntries = 10_000
)

// Apply adds, changes and deletes declarations, all or none.
func (o *operatorsHandler) Apply(ctx context.Context, r *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	v := &validator{}
	v.name("operator", r.Msg.GetOperator())
	if n := len(r.Msg.GetItems()); n == 0 || n > maxChangeItems {
		v.add(coder.OutOfRange, "items", "%d is not between 1 and %d", n, maxChangeItems)
	}
	return handle(ctx, o, v, r.Msg, o.backend.Apply)
}

// Get returns declarations in force.
func (o *operatorsHandler) Get(ctx context.Context, r *connect.Request[schema.GetRequest]) (*connect.Response[schema.GetResponse], error) {
	return handle(ctx, o, &validator{}, r.Msg, o.backend.Get)
}

// Cancel cancels submitted work.
func (o *operatorsHandler) Cancel(ctx context.Context, r *connect.Request[schema.CancelRequest]) (*connect.Response[schema.CancelResponse], error) {
	v := &validator{}
	v.name("operator", r.Msg.GetOperator())
	v.name("key", r.Msg.GetKey())
	return handle(ctx, o, v, r.Msg, o.backend.Cancel)
}

// Drain takes a data centre or host out of service, or puts it back.
func (o *operatorsHandler) Drain(ctx context.Context, r *connect.Request[schema.DrainRequest]) (*connect.Response[schema.DrainResponse], error) {
	v := &validator{}
	v.name("operator", r.Msg.GetOperator())
	v.name("name", r.Msg.GetName())
	if k := r.Msg.GetKind(); k != "data-centre" && k != "host" {
		v.add(coder.BadFormat, "kind", "%q is neither data-centre nor host", k)
	}
	return handle(ctx, o, v, r.Msg, o.backend.Drain)
}

// Forecast returns the forecast of a month's bill.
func (o *operatorsHandler) Forecast(ctx context.Context, r *connect.Request[schema.ForecastRequest]) (*connect.Response[schema.ForecastResponse], error) {
	return handle(ctx, o, &validator{}, r.Msg, o.backend.Forecast)
}

// Explain returns the causes of the difference between a month's bill and another.
func (o *operatorsHandler) Explain(ctx context.Context, r *connect.Request[schema.ExplainRequest]) (*connect.Response[schema.ExplainResponse], error) {
	return handle(ctx, o, &validator{}, r.Msg, o.backend.Explain)
}

// Audit returns entries of the audit trail.
func (o *operatorsHandler) Audit(ctx context.Context, r *connect.Request[schema.AuditRequest]) (*connect.Response[schema.AuditResponse], error) {
	v := &validator{}
	if n := r.Msg.GetLimit(); n < 0 || n > maxAuditEntries {
		v.add(coder.OutOfRange, "limit", "%d is not between 0 and %d", n, maxAuditEntries)
	}
	return handle(ctx, o, v, r.Msg, o.backend.Audit)
}

// handle calls the backend unless the request is invalid, and counts the result.
func handle[In, Out any](ctx context.Context, o *operatorsHandler, v *validator, in *In, f func(context.Context, *In) (*Out, error)) (*connect.Response[Out], error) {
	if v.fault != nil {
		o.countResult(v.fault.Code())
		return nil, connectError(v.fault)
	}
	out, err := f(ctx, in)
	o.countResult(coder.Of(err))
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(out), nil
}
