package claimer

import (
	"slices"

	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Ledger is what the claims, renewals and releases of one stream add up
	// to. It is pure: all readers of the same records in order agree on which
	// of them count. It is for one goroutine.
	//
	// A claim counts where it names the claim in force and either that one
	// was released, or the claim also names its last renewal: whoever judged
	// that a claim had lapsed is overruled by a renewal that it had not read.
	Ledger struct {
		next   provider.Offset
		shards map[string]*schema.Ownership
		// bases are the first offsets that restored states don't cover.
		bases map[string]provider.Offset
	}

	// owned is a record that is written under an epoch of a shard.
	owned interface {
		GetShard() string
		GetEpoch() int64
	}
)

const (
	// NoEpoch is the epoch of a shard that nobody claimed.
	NoEpoch int64 = -1
)

// NewLedger gives the ledger of a stream that is read from its first record.
func NewLedger() *Ledger {
	return &Ledger{shards: map[string]*schema.Ownership{}, bases: map[string]provider.Offset{}}
}

// Next gives the first offset that was not observed.
func (l *Ledger) Next() provider.Offset { return l.next }

// Observe takes in the record at an offset and tells whether it counts. One at
// any offset but Next is passed over, and doesn't count: it was observed before,
// or a hole lies between, which Restore or Skip must bridge.
func (l *Ledger) Observe(offset provider.Offset, r *schema.Record) bool {
	if offset != l.next {
		return false
	}
	l.next = offset + 1
	if offset < l.bases[shardOf(r)] {
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
	return l.Counts(r)
}

// Skip passes over offsets below next, such as those of records that can't be
// decoded.
func (l *Ledger) Skip(next provider.Offset) { l.next = max(l.next, next) }

// Counts tells whether a record under an epoch would count as the next one.
// Records that are under no epoch always do.
func (l *Ledger) Counts(r *schema.Record) bool {
	o, under := ownedBy(r)
	if !under {
		return true
	}
	return inForce(l.Ownership(o.GetShard()), o.GetEpoch())
}

// Epoch gives the epoch of the shard's claim in force, or NoEpoch where there
// is none or it was released.
func (l *Ledger) Epoch(shard string) int64 {
	s, known := l.shards[shard]
	if !known || s.GetReleased() {
		return NoEpoch
	}
	return s.GetEpoch()
}

// Holder gives the process that made the claim in force, or "".
func (l *Ledger) Holder(shard string) string {
	s, known := l.shards[shard]
	if !known || s.GetReleased() {
		return ""
	}
	return s.GetHolder()
}

// Ownership gives the state of a shard, which a snapshot carries and the
// caller must not change.
func (l *Ledger) Ownership(shard string) *schema.Ownership {
	if s, known := l.shards[shard]; known {
		return s
	}
	return &schema.Ownership{Shard: shard, Epoch: NoEpoch}
}

// Shards gives the shards that were ever claimed, in order of their names.
func (l *Ledger) Shards() []string {
	names := make([]string, 0, len(l.shards))
	for n := range l.shards {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Restore sets the state of a shard from a snapshot whose base is next; records
// of the shard before it are passed over. After a hole every shard is restored,
// and then Skip goes to the lowest base.
func (l *Ledger) Restore(o *schema.Ownership, next provider.Offset) {
	l.shards[o.GetShard()] = o
	l.bases[o.GetShard()] = next
}

func (l *Ledger) claim(offset provider.Offset, r *schema.Record, c *schema.Claim) bool {
	was := l.Ownership(c.GetShard())
	if c.GetPreviousEpoch() != was.GetEpoch() {
		return false
	}
	free := was.GetEpoch() == NoEpoch || was.GetReleased()
	if !free && c.GetPreviousSequence() != was.GetSequence() {
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
	was := l.Ownership(r.GetShard())
	if !inForce(was, r.GetEpoch()) || r.GetSequence() != was.GetSequence()+1 {
		return false
	}
	l.shards[r.GetShard()] = &schema.Ownership{
		Shard:       was.GetShard(),
		Epoch:       was.GetEpoch(),
		Sequence:    r.GetSequence(),
		Holder:      was.GetHolder(),
		Claimants:   r.GetClaimants(),
		LapseMillis: was.GetLapseMillis(),
		ClearMillis: r.GetClearMillis(),
	}
	return true
}

func (l *Ledger) release(r *schema.Release) bool {
	was := l.Ownership(r.GetShard())
	if !inForce(was, r.GetEpoch()) {
		return false
	}
	l.shards[r.GetShard()] = &schema.Ownership{
		Shard:       was.GetShard(),
		Epoch:       was.GetEpoch(),
		Sequence:    was.GetSequence(),
		Holder:      was.GetHolder(),
		Claimants:   was.GetClaimants(),
		Released:    true,
		LapseMillis: was.GetLapseMillis(),
		ClearMillis: was.GetClearMillis(),
	}
	return true
}

// shardOf gives the shard that a record is under, or "".
func shardOf(r *schema.Record) string {
	if c := r.GetClaim(); c != nil {
		return c.GetShard()
	}
	if o, under := ownedBy(r); under {
		return o.GetShard()
	}
	return ""
}

func inForce(o *schema.Ownership, epoch int64) bool {
	return epoch != NoEpoch && !o.GetReleased() && o.GetEpoch() == epoch
}

func ownedBy(r *schema.Record) (owned, bool) {
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
