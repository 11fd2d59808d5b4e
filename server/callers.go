package server

import (
	"context"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	callers struct {
		backend    Backend
		maxPayload int
		result     func(coder.Code)
	}
)

const (
	maxName   = 128
	maxMillis = int64(60 * 24 * 3600 * 1000)
)

// Check runs a quick check.
func (c *callers) Check(ctx context.Context, r *connect.Request[schema.CheckRequest]) (*connect.Response[schema.Answer], error) {
	m := r.Msg
	v := &checks{}
	v.name("request-id", m.GetRequestId())
	v.name("team", m.GetTeam())
	v.name("service", m.GetService())
	v.payload(m.GetPayload(), c.maxPayload)
	v.millis("timeout-millis", m.GetTimeoutMillis())
	if v.fault != nil {
		return nil, c.refuse(v.fault)
	}
	return c.answer(c.backend.Check(ctx, m)), nil
}

// Submit hands in work.
func (c *callers) Submit(ctx context.Context, r *connect.Request[schema.SubmitRequest]) (*connect.Response[schema.Answer], error) {
	m := r.Msg
	v := &checks{}
	v.name("key", m.GetKey())
	v.name("team", m.GetTeam())
	v.name("job", m.GetJob())
	v.payload(m.GetPayload(), c.maxPayload)
	v.millis("timeout-millis", m.GetTimeoutMillis())
	v.millis("wait-millis", m.GetWaitMillis())
	if v.fault != nil {
		return nil, c.refuse(v.fault)
	}
	return c.answer(c.backend.Submit(ctx, m)), nil
}

// Await waits for the answer of submitted work.
func (c *callers) Await(ctx context.Context, r *connect.Request[schema.AwaitRequest]) (*connect.Response[schema.Answer], error) {
	v := &checks{}
	v.name("key", r.Msg.GetKey())
	v.millis("wait-millis", r.Msg.GetWaitMillis())
	if v.fault != nil {
		return nil, c.refuse(v.fault)
	}
	return c.answer(c.backend.Await(ctx, r.Msg)), nil
}

func (c *callers) answer(a *schema.Answer) *connect.Response[schema.Answer] {
	c.result(coder.Code(a.GetResultCode()))
	return connect.NewResponse(a)
}

func (c *callers) refuse(e *coder.Error) error {
	c.result(e.Code())
	return failure(e)
}
