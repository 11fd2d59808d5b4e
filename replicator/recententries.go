package replicator

import (
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// recentEntries holds the newest records of the config stream, for peers that lack them.
	recentEntries struct {
		entries []*schema.StreamEntry
		bytes   int
	}
)

const (
	maxSuffixBytes = 1 << 20
	maxAnswerBytes = 256 << 10
)

func (s *recentEntries) add(e provider.Entry) {
	s.entries = append(s.entries, &schema.StreamEntry{Offset: int64(e.Offset), Data: e.Data})
	s.bytes += len(e.Data)
	for s.bytes > maxSuffixBytes {
		s.bytes -= len(s.entries[0].GetData())
		s.entries[0] = nil
		s.entries = s.entries[1:]
	}
}

func (s *recentEntries) reset() { *s = recentEntries{} }

// from returns at most maxAnswerBytes of entries from an offset on, but at least one, and
// whether entries that far back are kept.
func (s *recentEntries) from(next provider.Offset) ([]*schema.StreamEntry, bool) {
	if len(s.entries) == 0 {
		return nil, false
	}
	skip := int64(next) - s.entries[0].GetOffset()
	if skip < 0 || skip > int64(len(s.entries)) {
		return nil, false
	}
	bytes := 0
	entries := s.entries[skip:]
	for n, e := range entries {
		bytes += len(e.GetData())
		if bytes > maxAnswerBytes && n > 0 {
			return entries[:n], true
		}
	}
	return entries, true
}
