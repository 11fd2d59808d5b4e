// Package auditor keeps the trail of changes: who changed what, when, at which
// offset of the log, from which value to which, accepted or refused and why.
package auditor

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Trail is the newest part of the trail. One goroutine adds, any may read.
	Trail struct {
		limit   int
		entries atomic.Pointer[[]*schema.AuditEntry]
	}
)

const (
	// DefaultLimit is the most entries that are kept in memory; older ones
	// are in the log for as long as it keeps them.
	DefaultLimit = 4096
)

// New gives an empty trail that keeps so many entries.
func New(limit int) *Trail {
	t := &Trail{limit: limit}
	t.entries.Store(&[]*schema.AuditEntry{})
	return t
}

// Add notes what became of the change at an offset, one entry an item.
// befores are the items as they stood, refused is why it was refused, or nil.
func (t *Trail) Add(offset provider.Offset, at clock.Millis, c *schema.Change, befores []declarer.Item, refused *coder.Error) {
	old := *t.entries.Load()
	kept := old[max(0, len(old)+len(c.GetItems())-t.limit):]
	entries := make([]*schema.AuditEntry, 0, len(kept)+len(c.GetItems()))
	entries = append(entries, kept...)
	for n, i := range c.GetItems() {
		entries = append(entries, entry(offset, at, c.GetOperator(), i, befores[n], refused))
	}
	entries = entries[max(0, len(entries)-t.limit):]
	t.entries.Store(&entries)
}

func entry(offset provider.Offset, at clock.Millis, operator string, i *schema.ChangeItem, before declarer.Item, refused *coder.Error) *schema.AuditEntry {
	e := &schema.AuditEntry{
		Offset:   int64(offset),
		AtMillis: int64(at),
		Operator: operator,
		Kind:     i.GetKind(),
		Name:     i.GetName(),
		From:     string(before.Document()),
		To:       string(i.GetDocument()),
	}
	if refused != nil {
		e.ResultCode = int32(refused.Code())
		e.Reason = refused.Error()
	}
	return e
}

// From gives at most limit entries from an offset on, oldest first.
func (t *Trail) From(offset provider.Offset, limit int) []*schema.AuditEntry {
	entries := *t.entries.Load()
	first := 0
	for first < len(entries) && entries[first].GetOffset() < int64(offset) {
		first++
	}
	return entries[first:min(len(entries), first+limit)]
}

// Newest gives at most limit of the newest entries, oldest first.
func (t *Trail) Newest(limit int) []*schema.AuditEntry {
	entries := *t.entries.Load()
	return entries[max(0, len(entries)-limit):]
}

// ResultOf gives the result of the change at an offset, and whether it is known.
func (t *Trail) ResultOf(offset provider.Offset) (coder.Code, bool) {
	for _, e := range t.From(offset, 1) {
		if e.GetOffset() == int64(offset) {
			return coder.Code(e.GetResultCode()), true
		}
	}
	return coder.OK, false
}
