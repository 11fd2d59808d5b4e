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
	// Snapshot is the state after all records of a stream before an offset, its base.
	Snapshot struct {
		id   string
		base provider.Offset
		data []byte
	}

	// Assembler assembles snapshots from their chunks while a stream is read.
	Assembler struct {
		kind    string
		limit   provider.Offset
		partial map[string]*partialSnapshot
		newest  *Snapshot
	}

	// partialSnapshot holds the chunks read so far of a snapshot that isn't whole.
	partialSnapshot struct {
		base   provider.Offset
		digest uint64
		chunks [][]byte
		left   int
	}

	// Schedule decides when a snapshot is due.
	Schedule struct {
		interval   clock.Millis
		lastAt     clock.Millis
		records    int
		maxRecords int
	}
)

const (
	// ChunkBytes is the maximum size of the state in one chunk.
	ChunkBytes = 128 << 10

	// maxChunks limits the memory a reader uses for a snapshot that isn't whole.
	maxChunks = 1024
)

// NewSnapshot returns a snapshot of a kind, such as "shard south/0", of the state after
// all records before base. The writer must be unique for each snapshot of the same kind
// and base.
func NewSnapshot(kind, writer string, base provider.Offset, data []byte) Snapshot {
	return Snapshot{id: fmt.Sprintf("%s|%s|%d", kind, writer, base), base: base, data: data}
}

// Base returns the first offset that the snapshot does not cover.
func (s Snapshot) Base() provider.Offset { return s.base }

// Data returns the encoded state.
func (s Snapshot) Data() []byte { return s.data }

// Records returns the chunks as records of the log.
func (s Snapshot) Records(now clock.Millis, daemon string) []*schema.Record {
	count := max(1, (len(s.data)+ChunkBytes-1)/ChunkBytes)
	records := make([]*schema.Record, 0, count)
	for n := range count {
		from := n * ChunkBytes
		c := &schema.SnapshotChunk{
			Id: s.id, Index: int32(n), Count: int32(count), BaseOffset: int64(s.base),
			Data: s.data[from:min(from+ChunkBytes, len(s.data))], Digest: xxhash.Sum64(s.data),
		}
		records = append(records, &schema.Record{
			Id: fmt.Sprintf("%s|%d", s.id, n), AtMillis: int64(now), Daemon: daemon,
			Body: &schema.Record_Snapshot{Snapshot: c},
		})
	}
	return records
}

// NewAssembler returns an Assembler for snapshots of a kind.
func NewAssembler(kind string) *Assembler {
	return &Assembler{kind: kind, limit: math.MaxInt64, partial: map[string]*partialSnapshot{}}
}

// Limit makes Add ignore snapshots with a base above an offset.
func (a *Assembler) Limit(base provider.Offset) { a.limit = base }

// Add adds a chunk and reports whether that completes a newer snapshot. Chunks of other
// kinds are ignored.
func (a *Assembler) Add(c *schema.SnapshotChunk) bool {
	if !a.accepts(c) {
		return false
	}
	p := a.partial[c.GetId()]
	if p == nil {
		p = &partialSnapshot{
			base: provider.Offset(c.GetBaseOffset()), digest: c.GetDigest(),
			chunks: make([][]byte, c.GetCount()), left: int(c.GetCount()),
		}
		a.partial[c.GetId()] = p
	}
	if len(p.chunks) != int(c.GetCount()) || p.chunks[c.GetIndex()] != nil {
		return false
	}
	p.chunks[c.GetIndex()] = append([]byte{}, c.GetData()...)
	p.left--
	return p.left == 0 && a.complete(c.GetId(), p)
}

func (a *Assembler) accepts(c *schema.SnapshotChunk) bool {
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

func (a *Assembler) complete(id string, p *partialSnapshot) bool {
	delete(a.partial, id)
	var data []byte
	for _, chunk := range p.chunks {
		data = append(data, chunk...)
	}
	if xxhash.Sum64(data) != p.digest {
		return false
	}
	a.newest = &Snapshot{id: id, base: p.base, data: data}
	for other, q := range a.partial {
		if q.base <= p.base {
			delete(a.partial, other)
		}
	}
	return true
}

// Newest returns the newest whole snapshot, and whether there is one.
func (a *Assembler) Newest() (Snapshot, bool) {
	if a.newest == nil {
		return Snapshot{}, false
	}
	return *a.newest, true
}

// Start returns the offset from which to apply records, once the stream was read to its
// end: the base of the newest whole snapshot, or 0. The error has the code
// LogHole if records before oldest, which the log has discarded, are needed.
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

// NewSchedule returns a schedule for a log with a retention. A snapshot is due four times
// per retention, so that three in a row may fail, or earlier after maxRecords records,
// which limits how many a reader has to apply.
func NewSchedule(retention clock.Millis, maxRecords int, now clock.Millis) *Schedule {
	return &Schedule{interval: retention / 4, maxRecords: maxRecords, lastAt: now}
}

// Count adds n records written since the last snapshot.
func (s *Schedule) Count(n int) { s.records += n }

// Due reports whether to write a snapshot.
func (s *Schedule) Due(now clock.Millis) bool {
	return now-s.lastAt >= s.interval || s.records >= s.maxRecords
}

// SnapshotWritten restarts the schedule after a whole snapshot was read from the log.
func (s *Schedule) SnapshotWritten(now clock.Millis) {
	s.lastAt = now
	s.records = 0
}
