// Package auditor keeps the audit trail of changes to declarations: operator, time, log
// offset, old and new value, and the result with the reason for a refusal.
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
	// Trail holds the newest entries of the audit trail. Only one goroutine may call
	// Add; the other methods may be called concurrently with it.
	Trail struct {
		limit   int
		entries atomic.Pointer[[]*schema.AuditEntry]
	}
)

const (
	// DefaultLimit is the default maximum number of entries in memory. Older entries
	// can be recovered from the log only, within its retention.
	DefaultLimit = 4096
)

// New returns an empty trail that keeps at most limit entries.
func New(limit int) *Trail {
	t := &Trail{limit: limit}
	t.entries.Store(&[]*schema.AuditEntry{})
	return t
}

// Add adds an entry for each item of the change at an offset. previous are the
// declarations before the change, in the order of its items; rejection is the reason why
// the change was refused, or nil.
func (t *Trail) Add(offset provider.Offset, at clock.Millis, c *schema.Change, previous []declarer.Item, rejection *coder.Error) {
	old := *t.entries.Load()
	kept := old[max(0, len(old)+len(c.GetItems())-t.limit):]
	entries := make([]*schema.AuditEntry, 0, len(kept)+len(c.GetItems()))
	entries = append(entries, kept...)
	for n, i := range c.GetItems() {
		entries = append(entries, newEntry(offset, at, c.GetOperator(), i, previous[n], rejection))
	}
	entries = entries[max(0, len(entries)-t.limit):]
	t.entries.Store(&entries)
}

// newEntry returns the entry of one item of a change. Its fields From and To are the
// declaration before the change and the one in the change, as JSON.
func newEntry(offset provider.Offset, at clock.Millis, operator string, i *schema.ChangeItem, previous declarer.Item, rejection *coder.Error) *schema.AuditEntry {
	e := &schema.AuditEntry{
		Offset:   int64(offset),
		AtMillis: int64(at),
		Operator: operator,
		Kind:     i.GetKind(),
		Name:     i.GetName(),
		From:     string(previous.Document()),
		To:       string(i.GetDocument()),
	}
	if rejection != nil {
		e.ResultCode = int32(rejection.Code())
		e.Reason = rejection.Error()
	}
	return e
}

// EntriesFrom returns the entries with at least the given offset, oldest first, at most limit.
func (t *Trail) EntriesFrom(offset provider.Offset, limit int) []*schema.AuditEntry {
	entries := *t.entries.Load()
	first := 0
	for first < len(entries) && entries[first].GetOffset() < int64(offset) {
		first++
	}
	return entries[first:min(len(entries), first+limit)]
}

// Newest returns the newest entries, at most limit, oldest first.
func (t *Trail) Newest(limit int) []*schema.AuditEntry {
	entries := *t.entries.Load()
	return entries[max(0, len(entries)-limit):]
}

// ResultOf returns the result of the change at an offset, and reports whether the trail
// still has its entry.
func (t *Trail) ResultOf(offset provider.Offset) (coder.Code, bool) {
	for _, e := range t.EntriesFrom(offset, 1) {
		if e.GetOffset() == int64(offset) {
			return coder.Code(e.GetResultCode()), true
		}
	}
	return coder.OK, false
}
