package meter

import (
	"galenawharf.example/galenawharf/coder"
)

type (
	// Fault is an inconsistency in the metered data, or a warning about a bill or a
	// forecast. It is shown together with the bill or forecast.
	Fault struct {
		code   coder.Code
		offset int64
		text   string
	}
)

// NewFault returns a fault found in the record at a log offset. The offset is -1 if the
// fault belongs to no record.
func NewFault(c coder.Code, offset int64, text string) Fault {
	return Fault{code: c, offset: offset, text: text}
}

// Code returns the fault's code.
func (f Fault) Code() coder.Code { return f.code }

// Offset returns the log offset of the record, -1 for none.
func (f Fault) Offset() int64 { return f.offset }

// String returns the code and the text in one line.
func (f Fault) String() string { return f.code.String() + ": " + f.text }
