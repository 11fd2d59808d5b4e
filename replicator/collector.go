package replicator

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// collector rebuilds the state after a gap in the stream from what remains: the
	// newest whole snapshot and the records after its base.
	collector struct {
		oldest  provider.Offset
		entries []provider.Entry
		chunks  map[string][][]byte
	}
)

func newCollector(oldest provider.Offset) *collector {
	return &collector{oldest: oldest, chunks: map[string][][]byte{}}
}

// add adds the next entry. It returns the state after all entries added so far once they
// hold a whole snapshot whose base the stream still reaches.
func (c *collector) add(e provider.Entry) (*replica, bool) {
	c.entries = append(c.entries, e)
	record := &schema.Record{}
	if proto.Unmarshal(e.Data, record) != nil || record.GetSnapshot() == nil {
		return nil, false
	}
	s := record.GetSnapshot()
	state, complete := c.assemble(s)
	if !complete || s.GetBaseOffset() < int64(c.oldest) || state.GetNextOffset() != s.GetBaseOffset() {
		return nil, false
	}
	r, err := replicaFromMessage(state)
	if err != nil {
		return nil, false
	}
	for _, entry := range c.entries {
		if entry.Offset >= r.next() {
			r, _ = r.apply(entry.Data)
		}
	}
	return r, true
}

func (c *collector) assemble(s *schema.SnapshotChunk) (*schema.ConfigState, bool) {
	if s.GetIndex() < 0 || s.GetIndex() >= s.GetCount() || s.GetCount() > maxChunks {
		return nil, false
	}
	chunks, known := c.chunks[s.GetId()]
	if !known {
		chunks = make([][]byte, s.GetCount())
		c.chunks[s.GetId()] = chunks
	}
	if int(s.GetIndex()) >= len(chunks) {
		return nil, false
	}
	chunks[s.GetIndex()] = s.GetData()
	var data []byte
	for _, p := range chunks {
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

// chunks returns the records that carry a snapshot of the replica, or nil if it can't be
// encoded.
func (r *replica) chunks(id string, newRecord func() *schema.Record) []*schema.Record {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.toMessage())
	if err != nil {
		return nil
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	records := make([]*schema.Record, 0, count)
	for i := range count {
		part := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		chunk := newRecord()
		chunk.Body = &schema.Record_Snapshot{Snapshot: &schema.SnapshotChunk{
			Id:         id,
			Index:      int32(i),
			Count:      int32(count),
			BaseOffset: r.state.Next(),
			Data:       part,
			Digest:     xxhash.Sum64(data),
		}}
		records = append(records, chunk)
	}
	return records
}
