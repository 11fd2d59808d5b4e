// Package coder defines the result codes and the errors that carry them. docs/CODES.md
// lists every code with its meaning and what to do.
package coder

import (
	"fmt"

	"github.com/pkg/errors"
)

type (
	// Code is a result code. Numbers are never reused.
	Code int
)

// Of returns the code of err: OK for nil, else the code of the first Error in its chain,
// else the code of the first element of an Errors in its chain, else Internal.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.code
	}
	var list Errors
	if errors.As(err, &list) && len(list) > 0 {
		return list[0].code
	}
	return Internal
}

// String returns the code in the form "GW1001".
func (c Code) String() string { return fmt.Sprintf("GW%04d", int(c)) }
