package keeper

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Register maps each submitted key, and each unit of an exclusive key, to the shard
	// that owns it. Of several submissions with one key, only the first in "intents" is
	// accepted. All daemons that apply the same records in order have the same state. A
	// register stores hashes of keys, and no submissions.
	Register struct {
		next         provider.Offset
		shards       []string
		shardIndices map[string]uint16
		entries      map[uint64]registerEntry
	}

	// registerEntry is the state of a key or a unit. takenAt is the time of the submission
	// in seconds, shard an index into Register.shards, and hop the number of moves of the
	// unit between shards.
	registerEntry struct {
		takenAt   uint32
		shard     uint16
		hop       uint16
		cancelled bool
	}

	// Verdict is the effect of a record of "intents" on a Register: an accepted or
	// duplicate submission, a cancellation, a move of a unit, or none.
	Verdict struct {
		offset provider.Offset
		at     clock.Millis
		intent *schema.Intent
		cancel *schema.CancelIntent
		rehome *schema.Rehome
		// moved holds the tasks that a rehome assigned to another shard.
		moved []*schema.WaitingTask
		// home is the shard that owns the task or unit after the record, "" if the record
		// has no effect. from is the shard that a unit left, "" if none did.
		home      string
		from      string
		duplicate bool
		cancelled func(key string) bool
	}
)

const (
	// KeyRetention is how long a key stays taken, longer than any task runs.
	KeyRetention = declarer.MaxRunTime + 2*clock.Day

	prefixService   = "service/"
	prefixExclusive = "exclusive/"
	prefixWatch     = "watch/"

	// purgeSlack is how much longer than KeyRetention keys are kept in the register. It is
	// more than any daemon's clock is off.
	purgeSlack = clock.Day

	// entryBytes is the size of an entry in a snapshot: hash, takenAt, shard, hop and
	// cancelled.
	entryBytes = 17

	// neverExpires is the takenAt of watch jobs, whose keys stay taken for good.
	neverExpires = math.MaxUint32
)

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{shardIndices: map[string]uint16{}, entries: map[uint64]registerEntry{}}
}

// ReservedKey reports whether a key has a prefix that the project uses itself. Callers must
// not submit such keys.
func ReservedKey(key string) bool {
	return strings.HasPrefix(key, prefixService) || strings.HasPrefix(key, prefixExclusive) || strings.HasPrefix(key, prefixWatch)
}

// Next returns the next offset of "intents" to apply.
func (r *Register) Next() provider.Offset { return r.next }

// Len returns the number of keys and units in the register.
func (r *Register) Len() int { return len(r.entries) }

// Offset returns the offset of the record in "intents".
func (v Verdict) Offset() provider.Offset { return v.offset }

// Duplicate reports whether the key of an intent was already taken.
func (v Verdict) Duplicate() bool { return v.duplicate }

// movesTaskOf reports whether the verdict moves a task of the keeper.
func (v Verdict) movesTaskOf(k *Keeper) bool {
	for _, w := range v.moved {
		if k.tasks[w.GetIntent().GetKey()] != nil {
			return true
		}
	}
	return false
}

// Home returns the shard that owns the submission or unit after the record, "" if the
// record has no effect.
func (v Verdict) Home() string { return v.home }

// Home returns the shard that owns a key or unit, and whether the register has it.
func (r *Register) Home(key string) (string, bool) {
	e, known := r.entries[xxhash.Sum64String(key)]
	if !known {
		return "", false
	}
	return r.shards[e.shard], true
}

// Apply applies the record at an offset and returns its verdict. Offsets that were
// already applied change nothing.
func (r *Register) Apply(o provider.Offset, rec *schema.Record) Verdict {
	v := Verdict{offset: o, at: clock.Millis(rec.GetAtMillis()), cancelled: r.cancelled}
	if o < r.next {
		return v
	}
	r.next = o + 1
	switch {
	case rec.GetIntent() != nil:
		r.submit(&v, rec.GetIntent())
	case rec.GetCancel() != nil:
		r.cancel(&v, rec.GetCancel())
	case rec.GetRehome() != nil:
		r.rehome(&v, rec.GetRehome())
	}
	return v
}

// submit takes the key of a submission, unless the key is taken, empty or of a reserved
// prefix other than that of watch jobs.
func (r *Register) submit(v *Verdict, i *schema.Intent) {
	if i.GetKey() == "" || strings.HasPrefix(i.GetKey(), prefixService) || strings.HasPrefix(i.GetKey(), prefixExclusive) {
		return
	}
	v.intent = i
	h := xxhash.Sum64String(i.GetKey())
	if e, known := r.entries[h]; known && !e.expired(v.at, 0) {
		v.duplicate = true
		return
	}
	e := registerEntry{takenAt: seconds(v.at), shard: r.shardIndex(i.GetShard())}
	if strings.HasPrefix(i.GetKey(), prefixWatch) {
		e.takenAt = neverExpires
	}
	if x := i.GetExclusiveKey(); x != "" {
		e.shard = r.unitShard(unitOfKey(x), e)
	}
	r.entries[h] = e
	v.home = r.shards[e.shard]
}

// unitShard returns the shard that owns a unit. A new unit gets the shard of entry, which
// is that of a submission in the unit. A unit is kept as long as its last submission.
func (r *Register) unitShard(unit string, entry registerEntry) uint16 {
	h := xxhash.Sum64String(unit)
	e, known := r.entries[h]
	if !known {
		e = entry
	}
	e.takenAt = max(e.takenAt, entry.takenAt)
	r.entries[h] = e
	return e.shard
}

func (r *Register) cancel(v *Verdict, c *schema.CancelIntent) {
	h := xxhash.Sum64String(c.GetKey())
	e, known := r.entries[h]
	if !known {
		return
	}
	e.cancelled = true
	r.entries[h] = e
	v.cancel = c
	v.home = r.shards[e.shard]
}

// rehome moves a unit to another shard if the hop is the unit's next. With the hop 0 it
// adds tasks that the last move left out to the unit's shard.
func (r *Register) rehome(v *Verdict, m *schema.Rehome) {
	h := xxhash.Sum64String(m.GetUnit())
	e, known := r.entries[h]
	if !known || m.GetHop() != 0 && m.GetHop() != int64(e.hop)+1 {
		return
	}
	if m.GetHop() > 0 {
		v.from = r.shards[e.shard]
		e.hop++
		r.moveTasks(&v.moved, m, r.shardIndex(m.GetTo()))
		e.shard = r.shardIndex(m.GetTo())
		r.entries[h] = e
	} else {
		r.moveTasks(&v.moved, m, e.shard)
	}
	v.rehome = m
	v.home = r.shards[e.shard]
}

// moveTasks assigns the tasks of m to a shard and appends each task that was in another
// shard to moved.
func (r *Register) moveTasks(moved *[]*schema.WaitingTask, m *schema.Rehome, shard uint16) {
	for _, t := range m.GetTasks() {
		h := xxhash.Sum64String(t.GetIntent().GetKey())
		e, known := r.entries[h]
		if !known || e.shard == shard {
			continue
		}
		e.shard = shard
		r.entries[h] = e
		*moved = append(*moved, t)
	}
}

func (r *Register) cancelled(key string) bool {
	return r.entries[xxhash.Sum64String(key)].cancelled
}

// hop returns how often a unit has moved between shards.
func (r *Register) hop(unit string) int64 {
	return int64(r.entries[xxhash.Sum64String(unit)].hop)
}

// Purge deletes keys that were taken longer than KeyRetention and purgeSlack ago.
func (r *Register) Purge(now clock.Millis) {
	for h, e := range r.entries {
		if e.expired(now, purgeSlack) {
			delete(r.entries, h)
		}
	}
}

func (r *Register) shardIndex(shard string) uint16 {
	if i, known := r.shardIndices[shard]; known {
		return i
	}
	i := uint16(len(r.shards))
	r.shards = append(r.shards, shard)
	r.shardIndices[shard] = i
	return i
}

// State returns a snapshot of the register, with the entries packed and sorted by hash.
func (r *Register) State() *schema.RegisterState {
	packed := make([]byte, 0, len(r.entries)*entryBytes)
	for _, h := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[h]
		packed = binary.LittleEndian.AppendUint64(packed, h)
		packed = binary.LittleEndian.AppendUint32(packed, e.takenAt)
		packed = binary.LittleEndian.AppendUint16(packed, e.shard)
		packed = binary.LittleEndian.AppendUint16(packed, e.hop)
		packed = append(packed, byteOf(e.cancelled))
	}
	return &schema.RegisterState{Shards: slices.Clone(r.shards), Entries: packed}
}

// Restore replaces the state by a snapshot that covers the offsets before next.
// Entries whose shard is missing from the snapshot are skipped.
func (r *Register) Restore(next provider.Offset, s *schema.RegisterState) {
	*r = *NewRegister()
	r.next = next
	for _, name := range s.GetShards() {
		r.shardIndex(name)
	}
	for packed := s.GetEntries(); len(packed) >= entryBytes; packed = packed[entryBytes:] {
		e := registerEntry{
			takenAt:   binary.LittleEndian.Uint32(packed[8:]),
			shard:     binary.LittleEndian.Uint16(packed[12:]),
			hop:       binary.LittleEndian.Uint16(packed[14:]),
			cancelled: packed[16] == 1,
		}
		if int(e.shard) < len(r.shards) {
			r.entries[binary.LittleEndian.Uint64(packed)] = e
		}
	}
}

func byteOf(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func (e registerEntry) expired(now, slack clock.Millis) bool {
	return e.takenAt != neverExpires && clock.Millis(e.takenAt)*clock.Second+KeyRetention+slack < now
}

func seconds(m clock.Millis) uint32 { return uint32(m / clock.Second) }

func unitOfKey(exclusive string) string { return prefixExclusive + exclusive }
