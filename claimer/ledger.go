package claimer

import (
	"slices"

	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Ledger is the ownership of shards that results from the claims, renewals and
	// releases of one stream. It depends on nothing but the records and their order,
	// so all readers agree on which records are valid. It is not safe for concurrent
	// use.
	//
	// A claim is valid if it names the epoch of the newest valid claim and, unless that
	// claim was released, also the sequence of that claim's last renewal. Thus a
	// renewal that the claimant had not read yet invalidates its claim. The offset of a
	// valid claim is its epoch. Other records under an epoch are valid if they name the
	// epoch of the current, unreleased claim; a renewal must also have the next sequence.
	//
	// The LapseMillis of an ownership is the time after which its claim expires without a
	// renewal. Its ClearMillis is how long after the newest claim or renewal was written
	// an earlier holder may still hold valid promises; 0 if none can.
	Ledger struct {
		next   provider.Offset
		shards map[string]*schema.Ownership
		// baseOffsets are the first offsets that restored states don't cover, by shard.
		baseOffsets map[string]provider.Offset
	}

	// epochRecord is the body of a record that is written under an epoch of a shard.
	epochRecord interface {
		GetShard() string
		GetEpoch() int64
	}
)

const (
	// NoEpoch is the epoch of a shard without a current claim.
	NoEpoch int64 = -1
)

// NewLedger returns a Ledger for a stream that is read from its first record.
func NewLedger() *Ledger {
	return &Ledger{shards: map[string]*schema.Ownership{}, baseOffsets: map[string]provider.Offset{}}
}

// Next returns the next offset to observe.
func (l *Ledger) Next() provider.Offset { return l.next }

// Observe applies the record at an offset and reports whether it is valid. A record at any
// offset but Next is ignored and not valid: it was observed before, or there is a gap that
// Restore or Skip must close first.
func (l *Ledger) Observe(offset provider.Offset, r *schema.Record) bool {
	if offset != l.next {
		return false
	}
	l.next = offset + 1
	if offset < l.baseOffsets[recordShard(r)] {
		return false
	}
	switch b := r.GetBody().(type) {
	case *schema.Record_Claim:
		return l.claim(offset, r, b.Claim)
	case *schema.Record_Renewal:
		return l.renew(b.Renewal)
	case *schema.Record_Release:
		return l.release(b.Release)
	}
	return l.Valid(r)
}

// Skip moves the next offset to observe forward to next, never back. Call it for records
// that a snapshot covers or that can't be decoded.
func (l *Ledger) Skip(next provider.Offset) { l.next = max(l.next, next) }

// Valid reports whether a record under an epoch names the shard's current epoch. Records
// that are not written under an epoch are always valid.
func (l *Ledger) Valid(r *schema.Record) bool {
	o, hasEpoch := asEpochRecord(r)
	if !hasEpoch {
		return true
	}
	return inForce(l.Ownership(o.GetShard()), o.GetEpoch())
}

// Epoch returns the epoch of the shard's current claim, or NoEpoch if there is none or it
// was released.
func (l *Ledger) Epoch(shard string) int64 {
	s, known := l.shards[shard]
	if !known || s.GetReleased() {
		return NoEpoch
	}
	return s.GetEpoch()
}

// Holder returns the identity of the process with the current claim, or "" if there is
// none or it was released.
func (l *Ledger) Holder(shard string) string {
	s, known := l.shards[shard]
	if !known || s.GetReleased() {
		return ""
	}
	return s.GetHolder()
}

// Ownership returns the state of a shard in the form that snapshots store. It must not be
// modified.
func (l *Ledger) Ownership(shard string) *schema.Ownership {
	if s, known := l.shards[shard]; known {
		return s
	}
	return &schema.Ownership{Shard: shard, Epoch: NoEpoch}
}

// Shards returns the sorted names of all shards that were ever claimed.
func (l *Ledger) Shards() []string {
	names := make([]string, 0, len(l.shards))
	for n := range l.shards {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Restore sets the state of a shard from a snapshot that covers the records
// before the offset next. Records of the shard before that offset are then ignored. After
// a gap in the stream, restore every shard, then call Skip with the lowest of the offsets.
func (l *Ledger) Restore(o *schema.Ownership, next provider.Offset) {
	l.shards[o.GetShard()] = o
	l.baseOffsets[o.GetShard()] = next
}

func (l *Ledger) claim(offset provider.Offset, r *schema.Record, c *schema.Claim) bool {
	previous := l.Ownership(c.GetShard())
	if c.GetPreviousEpoch() != previous.GetEpoch() {
		return false
	}
	unowned := previous.GetEpoch() == NoEpoch || previous.GetReleased()
	if !unowned && c.GetPreviousSequence() != previous.GetSequence() {
		return false
	}
	holder := c.GetHolder()
	if holder == "" {
		holder = r.GetDaemon()
	}
	l.shards[c.GetShard()] = &schema.Ownership{
		Shard:       c.GetShard(),
		Epoch:       int64(offset),
		Holder:      holder,
		Claimants:   c.GetClaimants(),
		LapseMillis: c.GetLapseMillis(),
		ClearMillis: c.GetClearMillis(),
	}
	return true
}

func (l *Ledger) renew(r *schema.Renewal) bool {
	previous := l.Ownership(r.GetShard())
	if !inForce(previous, r.GetEpoch()) || r.GetSequence() != previous.GetSequence()+1 {
		return false
	}
	l.shards[r.GetShard()] = &schema.Ownership{
		Shard:       previous.GetShard(),
		Epoch:       previous.GetEpoch(),
		Sequence:    r.GetSequence(),
		Holder:      previous.GetHolder(),
		Claimants:   r.GetClaimants(),
		LapseMillis: previous.GetLapseMillis(),
		ClearMillis: r.GetClearMillis(),
	}
	return true
}

func (l *Ledger) release(r *schema.Release) bool {
	previous := l.Ownership(r.GetShard())
	if !inForce(previous, r.GetEpoch()) {
		return false
	}
	l.shards[r.GetShard()] = &schema.Ownership{
		Shard:       previous.GetShard(),
		Epoch:       previous.GetEpoch(),
		Sequence:    previous.GetSequence(),
		Holder:      previous.GetHolder(),
		Claimants:   previous.GetClaimants(),
		Released:    true,
		LapseMillis: previous.GetLapseMillis(),
		ClearMillis: previous.GetClearMillis(),
	}
	return true
}

// recordShard returns the name of the shard that a record concerns, or "".
func recordShard(r *schema.Record) string {
	if c := r.GetClaim(); c != nil {
		return c.GetShard()
	}
	if o, hasEpoch := asEpochRecord(r); hasEpoch {
		return o.GetShard()
	}
	return ""
}

func inForce(o *schema.Ownership, epoch int64) bool {
	return epoch != NoEpoch && !o.GetReleased() && o.GetEpoch() == epoch
}

func asEpochRecord(r *schema.Record) (epochRecord, bool) {
	switch b := r.GetBody().(type) {
	case *schema.Record_Renewal:
		return b.Renewal, true
	case *schema.Record_Release:
		return b.Release, true
	case *schema.Record_Task:
		return b.Task, true
	case *schema.Record_Usage:
		return b.Usage, true
	}
	return nil, false
}
