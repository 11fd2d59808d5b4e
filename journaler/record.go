package journaler

import (
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// Decode decodes one entry of the log. A record that can't be decoded, or has no id or
// body, is an error of code CorruptRecord. Readers skip it, and must all do so for their
// states to agree.
func Decode(e provider.Entry) (*schema.Record, error) {
	r := &schema.Record{}
	if err := proto.Unmarshal(e.Data, r); err != nil {
		return nil, coder.New(coder.CorruptRecord, "Decode: record %d: %v", e.Offset, err)
	}
	if r.GetId() == "" || r.GetBody() == nil {
		return nil, coder.New(coder.CorruptRecord, "Decode: record %d has no id or no body", e.Offset)
	}
	return r, nil
}
