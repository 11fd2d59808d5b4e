package provider

import "context"

type (
	// Request is a quick check on its way to an executor.
	Request struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Payload []byte `json:"payload"`
		// Budget is how long the answer is of use, in milliseconds.
		Budget int64 `json:"budget"`
	}

	// Response is an executor's answer.
	Response struct {
		ID      string `json:"id"`
		Payload []byte `json:"payload"`
		// Length and Digest, the xxhash in hexadecimal, are those of the
		// payload when it was made.
		Length int64  `json:"length"`
		Digest string `json:"digest"`
		// Busy is the number of slots in use, Waiting that of requests that
		// wait for one.
		Busy    int  `json:"busy"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving,omitempty"`
	}

	// CancelState is what an executor says of a request that is called off.
	CancelState string

	// Executors carries requests to executors by their address. An error with
	// one of the codes NotRun and Overloaded means that the request did not run and will
	// not; after any other error it may have.
	Executors struct {
		Run func(ctx context.Context, address string, r Request) (Response, error)
		// Cancel calls a request off and says what had become of it.
		Cancel func(ctx context.Context, address, id string) (CancelState, error)
	}
)

// What an executor says of a request that is called off.
const (
	// CancelNotRun is a request that has not started and will not.
	CancelNotRun CancelState = "not-run"
	// CancelRunning is a request that runs or ran.
	CancelRunning CancelState = "running"
)
