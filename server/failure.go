package server

import (
	"strconv"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/coder"
)

// CodeHeader is the response header with the numeric result code of an error.
const CodeHeader = "Galenawharf-Code"

// connectError converts err to a connect.Error with the result code in CodeHeader.
func connectError(err error) error {
	c := coder.Of(err)
	e := connect.NewError(connectCode(c), err)
	e.Meta().Set(CodeHeader, strconv.Itoa(int(c)))
	return e
}

// CodeOf returns the result code of an error from a Connect client: the code in CodeHeader
// if the daemon sent one, coder.Unreachable if no daemon answered, otherwise the result
// code closest to the Connect code.
func CodeOf(err error) coder.Code {
	if err == nil {
		return coder.OK
	}
	var e *connect.Error
	if !errors.As(err, &e) {
		return coder.Of(err)
	}
	if n, parseErr := strconv.Atoi(e.Meta().Get(CodeHeader)); parseErr == nil {
		return coder.Code(n)
	}
	switch e.Code() {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return coder.Unreachable
	case connect.CodeInvalidArgument:
		return coder.Malformed
	case connect.CodeResourceExhausted:
		return coder.TooLarge
	}
	return coder.Internal
}

func connectCode(c coder.Code) connect.Code {
	switch {
	case c >= 1000 && c < 2000:
		return connect.CodeInvalidArgument
	case c == coder.NotFound:
		return connect.CodeNotFound
	case c >= 2000 && c < 3000:
		return connect.CodeFailedPrecondition
	case c == coder.Overloaded:
		return connect.CodeResourceExhausted
	case c >= 3000 && c < 4000:
		return connect.CodeFailedPrecondition
	case c >= 4000 && c < 5000:
		return connect.CodeUnavailable
	}
	return connect.CodeInternal
}
