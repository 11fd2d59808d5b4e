package dispatcher

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// counts are the cumulative counters behind Stats.
	counts struct {
		answered atomic.Int64
		refused  atomic.Int64
		unknown  atomic.Int64
		retries  atomic.Int64
		hedges   atomic.Int64
	}
)

// record counts an answer by its result code.
func (c *counts) record(a *schema.Answer) {
	switch coder.Code(a.GetResultCode()) {
	case coder.OK:
		c.answered.Add(1)
	case coder.Unknown, coder.Incomplete, coder.Cancelled, coder.Pending:
		c.unknown.Add(1)
	default:
		c.refused.Add(1)
	}
}
