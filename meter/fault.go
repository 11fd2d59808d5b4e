package meter

import (
	"galenawharf.example/galenawharf/coder"
)

type (
	// Fault is something wrong with what was metered. Nothing is dropped
	// because of it; the bill says that it is there.
	Fault struct {
		code   coder.Code
		offset int64
		text   string
	}
)

// NewFault gives a fault of the record at a log offset, -1 for none.
func NewFault(c coder.Code, offset int64, text string) Fault {
	return Fault{code: c, offset: offset, text: text}
}

// Code gives the numbered result.
func (f Fault) Code() coder.Code { return f.code }

// Offset gives the log offset of the record, -1 for none.
func (f Fault) Offset() int64 { return f.offset }

// String gives the fault in one line.
func (f Fault) String() string { return f.code.String() + ": " + f.text }
