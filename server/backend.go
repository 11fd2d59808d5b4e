// Package server is the face towards callers, operators, scrapers and health
// checks, on net/http.
package server

import (
	"context"

	"galenawharf.example/galenawharf/schema"
)

type (
	// Backend carries out what is asked. A returned error has a code.
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
