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
	// Register decides which submission of a key counts and where its home
	// is. Every daemon that applies the same records in order decides alike.
	// It keeps hashes of keys, not the work.
	Register struct {
		next    provider.Offset
		shards  []string
		indices map[string]uint16
		entries map[uint64]registered
	}

	registered struct {
		at        uint32
		shard     uint16
		hop       uint16
		cancelled bool
	}

	// Verdict is what a record of "intents" comes to.
	Verdict struct {
		offset    provider.Offset
		at        clock.Millis
		intent    *schema.Intent
		cancel    *schema.CancelIntent
		rehome    *schema.Rehome
		moved     []*schema.WaitingTask
		home      string
		from      string
		duplicate bool
		cancelled func(key string) bool
	}
)

const (
	// KeyRetention is how long a key stays taken: longer than any work runs.
	KeyRetention = declarer.MaxRunTime + 2*clock.Day

	prefixService   = "service/"
	prefixExclusive = "exclusive/"
	prefixWatch     = "watch/"

	// purgeSlack keeps keys longer than any daemon's clock is off.
	purgeSlack = clock.Day

	// entryBytes is the size of an entry in a snapshot.
	entryBytes = 17

	// forever stands for the time of a key that is never free again.
	forever = math.MaxUint32
)

// NewRegister gives a register that has seen nothing.
func NewRegister() *Register {
	return &Register{indices: map[string]uint16{}, entries: map[uint64]registered{}}
}

// ReservedKey tells whether a key is not for callers to use.
func ReservedKey(key string) bool {
	return strings.HasPrefix(key, prefixService) || strings.HasPrefix(key, prefixExclusive) || strings.HasPrefix(key, prefixWatch)
}

// Next gives the first offset of "intents" that was not applied.
func (r *Register) Next() provider.Offset { return r.next }

// Len gives the number of keys and units that it knows.
func (r *Register) Len() int { return len(r.entries) }

// Offset gives the place of the record.
func (v Verdict) Offset() provider.Offset { return v.offset }

// Duplicate tells whether the key of an intent was taken before.
func (v Verdict) Duplicate() bool { return v.duplicate }

// drops tells whether tasks that a keeper has are elsewhere from now on.
func (v Verdict) drops(k *Keeper) bool {
	for _, w := range v.moved {
		if k.tasks[w.GetIntent().GetKey()] != nil {
			return true
		}
	}
	return false
}

// Home gives the shard whose owner decides about the work, "" where the record
// changes nothing.
func (v Verdict) Home() string { return v.home }

// Home gives the shard that is the home of a key, and whether it is known.
func (r *Register) Home(key string) (string, bool) {
	e, known := r.entries[xxhash.Sum64String(key)]
	if !known {
		return "", false
	}
	return r.shards[e.shard], true
}

// Apply takes the record at an offset. Offsets that were applied before change
// nothing.
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
	e := registered{at: seconds(v.at), shard: r.index(i.GetShard())}
	if strings.HasPrefix(i.GetKey(), prefixWatch) {
		e.at = forever
	}
	if x := i.GetExclusiveKey(); x != "" {
		e.shard = r.unit(unitOfKey(x), e)
	}
	r.entries[h] = e
	v.home = r.shards[e.shard]
}

// unit gives the home of all work of an exclusive key: that of the first.
func (r *Register) unit(unit string, first registered) uint16 {
	h := xxhash.Sum64String(unit)
	e, known := r.entries[h]
	if !known {
		e = first
	}
	e.at = max(e.at, first.at)
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

func (r *Register) rehome(v *Verdict, m *schema.Rehome) {
	h := xxhash.Sum64String(m.GetUnit())
	e, known := r.entries[h]
	if !known || m.GetHop() != 0 && m.GetHop() != int64(e.hop)+1 {
		return
	}
	if m.GetHop() > 0 {
		v.from = r.shards[e.shard]
		e.hop++
		r.move(&v.moved, m, r.index(m.GetTo()))
		e.shard = r.index(m.GetTo())
		r.entries[h] = e
	} else {
		r.move(&v.moved, m, e.shard)
	}
	v.rehome = m
	v.home = r.shards[e.shard]
}

// move brings the tasks to a shard that are not there yet.
func (r *Register) move(moved *[]*schema.WaitingTask, m *schema.Rehome, shard uint16) {
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

// hop gives how often a unit has moved.
func (r *Register) hop(unit string) int64 {
	return int64(r.entries[xxhash.Sum64String(unit)].hop)
}

// Purge drops keys whose retention is over.
func (r *Register) Purge(now clock.Millis) {
	for h, e := range r.entries {
		if e.expired(now, purgeSlack) {
			delete(r.entries, h)
		}
	}
}

func (r *Register) index(shard string) uint16 {
	if i, known := r.indices[shard]; known {
		return i
	}
	i := uint16(len(r.shards))
	r.shards = append(r.shards, shard)
	r.indices[shard] = i
	return i
}

// State gives the snapshot of the register.
func (r *Register) State() *schema.RegisterState {
	packed := make([]byte, 0, len(r.entries)*entryBytes)
	for _, h := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[h]
		packed = binary.LittleEndian.AppendUint64(packed, h)
		packed = binary.LittleEndian.AppendUint32(packed, e.at)
		packed = binary.LittleEndian.AppendUint16(packed, e.shard)
		packed = binary.LittleEndian.AppendUint16(packed, e.hop)
		packed = append(packed, byteOf(e.cancelled))
	}
	return &schema.RegisterState{Shards: slices.Clone(r.shards), Entries: packed}
}

// Restore sets the register to a snapshot that covers the offsets before next.
// Entries of a shard that the snapshot doesn't name are passed over.
func (r *Register) Restore(next provider.Offset, s *schema.RegisterState) {
	*r = *NewRegister()
	r.next = next
	for _, name := range s.GetShards() {
		r.index(name)
	}
	for packed := s.GetEntries(); len(packed) >= entryBytes; packed = packed[entryBytes:] {
		e := registered{
			at:        binary.LittleEndian.Uint32(packed[8:]),
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

func (e registered) expired(now, slack clock.Millis) bool {
	return e.at != forever && clock.Millis(e.at)*clock.Second+KeyRetention+slack < now
}

func seconds(m clock.Millis) uint32 { return uint32(m / clock.Second) }

func unitOfKey(exclusive string) string { return prefixExclusive + exclusive }
