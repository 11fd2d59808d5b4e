package replicator

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// collector puts the state together from what a stream still has after a
	// hole: the newest whole snapshot and the records after its base.
	collector struct {
		oldest  provider.Offset
		entries []provider.Entry
		parts   map[string][][]byte
	}
)

func newCollector(oldest provider.Offset) *collector {
	return &collector{oldest: oldest, parts: map[string][][]byte{}}
}

// take takes in the next entry. Once a snapshot is whole whose base the stream
// still reaches, it gives the state after all entries that were taken in.
func (c *collector) take(e provider.Entry) (*replica, bool) {
	c.entries = append(c.entries, e)
	record := &schema.Record{}
	if proto.Unmarshal(e.Data, record) != nil || record.GetSnapshot() == nil {
		return nil, false
	}
	s := record.GetSnapshot()
	state, whole := c.whole(s)
	if !whole || s.GetBaseOffset() < int64(c.oldest) || state.GetNextOffset() != s.GetBaseOffset() {
		return nil, false
	}
	r, err := replicaOf(state)
	if err != nil {
		return nil, false
	}
	for _, kept := range c.entries {
		if kept.Offset >= r.next() {
			r, _ = r.apply(kept.Data)
		}
	}
	return r, true
}

func (c *collector) whole(s *schema.SnapshotChunk) (*schema.ConfigState, bool) {
	if s.GetIndex() < 0 || s.GetIndex() >= s.GetCount() || s.GetCount() > maxChunks {
		return nil, false
	}
	parts, known := c.parts[s.GetId()]
	if !known {
		parts = make([][]byte, s.GetCount())
		c.parts[s.GetId()] = parts
	}
	if int(s.GetIndex()) >= len(parts) {
		return nil, false
	}
	parts[s.GetIndex()] = s.GetData()
	var data []byte
	for _, p := range parts {
		if p == nil {
			return nil, false
		}
		data = append(data, p...)
	}
	state := &schema.ConfigState{}
	if xxhash.Sum64(data) != s.GetDigest() || proto.Unmarshal(data, state) != nil {
		return nil, false
	}
	return state, true
}

// chunks gives the records that carry a snapshot of the replica.
func (r *replica) chunks(id string, record func() *schema.Record) []*schema.Record {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.message())
	if err != nil {
		return nil
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	records := make([]*schema.Record, 0, count)
	for i := range count {
		part := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		one := record()
		one.Body = &schema.Record_Snapshot{Snapshot: &schema.SnapshotChunk{
			Id:         id,
			Index:      int32(i),
			Count:      int32(count),
			BaseOffset: r.state.Next(),
			Data:       part,
			Digest:     xxhash.Sum64(data),
		}}
		records = append(records, one)
	}
	return records
}
