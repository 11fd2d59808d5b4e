package provider

import "context"

type (
	// Request is a check to be run by an executor.
	Request struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Payload []byte `json:"payload"`
		// Budget is the time left until the caller's deadline, in milliseconds.
		Budget int64 `json:"budget"`
	}

	// Response is an executor's response to a Request.
	Response struct {
		ID      string `json:"id"`
		Payload []byte `json:"payload"`
		// Length, in bytes, and Digest, the xxhash in hexadecimal, are those of the
		// payload that the executor sent. If the payload received differs, it was damaged
		// on the way.
		Length int64  `json:"length"`
		Digest string `json:"digest"`
		// Busy is the number of slots in use, Waiting the number of requests queued for
		// a slot.
		Busy    int  `json:"busy"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving,omitempty"`
	}

	// CancelState is the state of a request when the executor received its cancellation.
	CancelState string

	// Executors sends requests to executors by address. An error with the code NotRun or
	// Overloaded means that the request did not run and never will; after any other error
	// it may have run.
	Executors struct {
		Run func(ctx context.Context, address string, r Request) (Response, error)
		// Cancel cancels a request by its ID and returns its state at that moment.
		Cancel func(ctx context.Context, address, id string) (CancelState, error)
	}
)

// States of a cancelled request.
const (
	// CancelNotRun means that the request has not started and never will.
	CancelNotRun CancelState = "not-run"
	// CancelRunning means that the request is running or has finished.
	CancelRunning CancelState = "running"
)
