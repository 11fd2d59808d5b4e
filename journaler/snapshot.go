package journaler

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Snapshot is a state that stands for the records before its base.
	Snapshot struct {
		id   string
		base provider.Offset
		data []byte
	}

	// Assembler puts chunks together while a stream is read.
	Assembler struct {
		kind   string
		limit  provider.Offset
		parts  map[string]*parts
		newest *Snapshot
	}

	// parts are the chunks of a snapshot that is not whole.
	parts struct {
		base   provider.Offset
		digest uint64
		chunks [][]byte
		left   int
	}

	// Schedule says when a snapshot is due.
	Schedule struct {
		interval clock.Millis
		last     clock.Millis
		records  int
		most     int
	}
)

const (
	// ChunkBytes is the most state in one chunk.
	ChunkBytes = 128 << 10

	// maxChunks bounds what a reader keeps of a snapshot that isn't whole.
	maxChunks = 1024
)

// NewSnapshot gives a state of a kind, such as "shard south/0", as of the
// records before base. The writer's id must be unique for each.
func NewSnapshot(kind, writer string, base provider.Offset, data []byte) Snapshot {
	return Snapshot{id: fmt.Sprintf("%s|%s|%d", kind, writer, base), base: base, data: data}
}

// Base gives the first offset that the snapshot does not cover.
func (s Snapshot) Base() provider.Offset { return s.base }

// Data gives the state.
func (s Snapshot) Data() []byte { return s.data }

// Records gives the chunks as records of the log.
func (s Snapshot) Records(now clock.Millis, daemon string) []*schema.Record {
	count := max(1, (len(s.data)+ChunkBytes-1)/ChunkBytes)
	all := make([]*schema.Record, 0, count)
	for n := range count {
		from := n * ChunkBytes
		c := &schema.SnapshotChunk{
			Id: s.id, Index: int32(n), Count: int32(count), BaseOffset: int64(s.base),
			Data: s.data[from:min(from+ChunkBytes, len(s.data))], Digest: xxhash.Sum64(s.data),
		}
		all = append(all, &schema.Record{
			Id: fmt.Sprintf("%s|%d", s.id, n), AtMillis: int64(now), Daemon: daemon,
			Body: &schema.Record_Snapshot{Snapshot: c},
		})
	}
	return all
}

// NewAssembler gives a reader of snapshots of a kind.
func NewAssembler(kind string) *Assembler {
	return &Assembler{kind: kind, limit: math.MaxInt64, parts: map[string]*parts{}}
}

// Limit has snapshots with a base above an offset passed over.
func (a *Assembler) Limit(base provider.Offset) { a.limit = base }

// Add takes a chunk; those of other kinds are passed over. It tells whether a
// newer snapshot is whole now.
func (a *Assembler) Add(c *schema.SnapshotChunk) bool {
	if !a.wants(c) {
		return false
	}
	p := a.parts[c.GetId()]
	if p == nil {
		p = &parts{
			base: provider.Offset(c.GetBaseOffset()), digest: c.GetDigest(),
			chunks: make([][]byte, c.GetCount()), left: int(c.GetCount()),
		}
		a.parts[c.GetId()] = p
	}
	if len(p.chunks) != int(c.GetCount()) || p.chunks[c.GetIndex()] != nil {
		return false
	}
	p.chunks[c.GetIndex()] = append([]byte{}, c.GetData()...)
	p.left--
	return p.left == 0 && a.finish(c.GetId(), p)
}

func (a *Assembler) wants(c *schema.SnapshotChunk) bool {
	n := len(a.kind)
	if len(c.GetId()) <= n || c.GetId()[:n] != a.kind || c.GetId()[n] != '|' {
		return false
	}
	if c.GetCount() < 1 || c.GetCount() > maxChunks || c.GetIndex() < 0 || c.GetIndex() >= c.GetCount() {
		return false
	}
	if provider.Offset(c.GetBaseOffset()) > a.limit {
		return false
	}
	return a.newest == nil || provider.Offset(c.GetBaseOffset()) > a.newest.base
}

func (a *Assembler) finish(id string, p *parts) bool {
	delete(a.parts, id)
	var data []byte
	for _, chunk := range p.chunks {
		data = append(data, chunk...)
	}
	if xxhash.Sum64(data) != p.digest {
		return false
	}
	a.newest = &Snapshot{id: id, base: p.base, data: data}
	for other, q := range a.parts {
		if q.base <= p.base {
			delete(a.parts, other)
		}
	}
	return true
}

// Newest gives the newest whole snapshot, and whether there is one.
func (a *Assembler) Newest() (Snapshot, bool) {
	if a.newest == nil {
		return Snapshot{}, false
	}
	return *a.newest, true
}

// Start gives the offset to apply records from, once a stream was read to its
// end: the base of the newest whole snapshot, or 0. An error of code LogHole
// says that records before oldest are needed and gone.
func (a *Assembler) Start(oldest provider.Offset) (provider.Offset, error) {
	from := provider.Offset(0)
	if a.newest != nil {
		from = a.newest.base
	}
	if from < oldest {
		return oldest, coder.New(coder.LogHole, "Assembler: records from %d on are needed, but the log begins at %d", from, oldest)
	}
	return from, nil
}

// NewSchedule gives a schedule for a log that keeps records for a retention:
// a snapshot is due four times in it, so that three may fail, or sooner after
// a number of records, which bounds what a reader applies.
func NewSchedule(retention clock.Millis, most int, now clock.Millis) *Schedule {
	return &Schedule{interval: retention / 4, most: most, last: now}
}

// Count notes records since the last snapshot.
func (s *Schedule) Count(n int) { s.records += n }

// Due tells whether to write a snapshot.
func (s *Schedule) Due(now clock.Millis) bool {
	return now-s.last >= s.interval || s.records >= s.most
}

// Wrote notes a whole snapshot in the log.
func (s *Schedule) Wrote(now clock.Millis) {
	s.last = now
	s.records = 0
}
