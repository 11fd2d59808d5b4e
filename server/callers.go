package server

import (
	"context"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// callersHandler implements schemaconnect.CallersHandler.
	callersHandler struct {
		backend     Backend
		maxPayload  int
		countResult func(coder.Code)
	}
)

const (
	maxNameBytes      = 128
	maxDurationMillis = int64(60 * 24 * 3600 * 1000) // 60 days
)

// Check runs a quick check on an executor and returns its answer.
func (c *callersHandler) Check(ctx context.Context, r *connect.Request[schema.CheckRequest]) (*connect.Response[schema.Answer], error) {
	m := r.Msg
	v := &validator{}
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

// Submit submits a run of a job. The request may wait for its end; if the run has not
// ended by then, the answer has the code coder.Pending.
func (c *callersHandler) Submit(ctx context.Context, r *connect.Request[schema.SubmitRequest]) (*connect.Response[schema.Answer], error) {
	m := r.Msg
	v := &validator{}
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

// Await waits for the end of submitted work and returns its answer. If the work has not
// ended when the wait is over, the answer has the code coder.Pending.
func (c *callersHandler) Await(ctx context.Context, r *connect.Request[schema.AwaitRequest]) (*connect.Response[schema.Answer], error) {
	v := &validator{}
	v.name("key", r.Msg.GetKey())
	v.millis("wait-millis", r.Msg.GetWaitMillis())
	if v.fault != nil {
		return nil, c.refuse(v.fault)
	}
	return c.answer(c.backend.Await(ctx, r.Msg)), nil
}

// answer counts the result and wraps the answer.
func (c *callersHandler) answer(a *schema.Answer) *connect.Response[schema.Answer] {
	c.countResult(coder.Code(a.GetResultCode()))
	return connect.NewResponse(a)
}

// refuse counts the result of an invalid request and returns its error.
func (c *callersHandler) refuse(e *coder.Error) error {
	c.countResult(e.Code())
	return connectError(e)
}
