// Package server serves the API of callers and operators with Connect, and health checks,
// metrics and the status page over HTTP.
package server

import (
	"context"

	"galenawharf.example/galenawharf/schema"
)

type (
	// Backend implements the API. Its functions get validated requests; their errors
	// have a result code (package coder).
	Backend struct {
		Check    func(context.Context, *schema.CheckRequest) *schema.Answer
		Submit   func(context.Context, *schema.SubmitRequest) *schema.Answer
		Await    func(context.Context, *schema.AwaitRequest) *schema.Answer
		Apply    func(context.Context, *schema.ApplyRequest) (*schema.ApplyResponse, error)
		Get      func(context.Context, *schema.GetRequest) (*schema.GetResponse, error)
		Cancel   func(context.Context, *schema.CancelRequest) (*schema.CancelResponse, error)
		Drain    func(context.Context, *schema.DrainRequest) (*schema.DrainResponse, error)
		Forecast func(context.Context, *schema.ForecastRequest) (*schema.ForecastResponse, error)
		Explain  func(context.Context, *schema.ExplainRequest) (*schema.ExplainResponse, error)
		Audit    func(context.Context, *schema.AuditRequest) (*schema.AuditResponse, error)
	}
)
