// Package coder has the numbered result codes and the error type that carries
// them. docs/CODES.md lists every code with its meaning and what to do.
package coder

import (
	"fmt"

	"github.com/pkg/errors"
)

type (
	// Code is a numbered result. Numbers are never reused.
	Code int
)

// Of gives the code of err: that of the first coded error in its chain, OK for
// nil, and Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var one *Error
	if errors.As(err, &one) {
		return one.code
	}
	var many Errors
	if errors.As(err, &many) && len(many) > 0 {
		return many[0].code
	}
	return Internal
}

// String gives the code as it is shown to people, such as "GW1001".
func (c Code) String() string { return fmt.Sprintf("GW%04d", int(c)) }
