package replicator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// Read takes in a page of the config stream that was asked of the log at a time,
// read from Next, and gives what became of the changes on it. An error has the
// code LogHole: records were discarded that no snapshot stands for; nothing new
// comes into force until one is found.
func (r *Replicator) Read(now, asked clock.Millis, p provider.Page) ([]Result, error) {
	results := r.take(now, p)
	if r.holes != nil {
		r.publish()
		return results, coder.New(coder.LogHole, "Replicator.Read: records from %d to %d of the config stream were discarded, and no whole snapshot was found yet", r.replica.next(), p.Oldest)
	}
	if r.replica.next() >= p.Next {
		r.fresh = max(r.fresh, asked)
		r.direct = max(r.direct, asked)
		r.settled = true
		maps.DeleteFunc(r.unsettled, func(_ string, sent clock.Millis) bool { return asked > sent+giveUpAfter })
	}
	r.publish()
	return results, nil
}

func (r *Replicator) take(now clock.Millis, p provider.Page) []Result {
	if r.holes == nil && p.Oldest > r.replica.next() {
		r.holes = newCollector(p.Oldest)
	}
	var results []Result
	for _, e := range p.Entries {
		if r.holes != nil {
			r.collect(now, e)
			continue
		}
		results = append(results, r.observe(now, e)...)
	}
	if r.holes != nil && r.replica.next() >= r.holes.oldest {
		r.holes = nil
	}
	return results
}

func (r *Replicator) collect(now clock.Millis, e provider.Entry) {
	r.settle(e.Data)
	after, whole := r.holes.take(e)
	if !whole {
		return
	}
	r.holes = nil
	r.kept.reset()
	r.advance(now, after)
}

// observe applies the record at the next offset; any other is passed over.
func (r *Replicator) observe(now clock.Millis, e provider.Entry) []Result {
	if e.Offset != r.replica.next() {
		return nil
	}
	after, result := r.replica.apply(e.Data)
	r.kept.add(e)
	r.settle(e.Data)
	r.advance(now, after)
	if result == nil {
		return nil
	}
	return []Result{*result}
}

// settle notes that a record of the process, or a snapshot, is in the log.
func (r *Replicator) settle(data []byte) {
	record := &schema.Record{}
	if proto.Unmarshal(data, record) != nil {
		return
	}
	delete(r.unsettled, record.GetId())
	if s := record.GetSnapshot(); s != nil && s.GetIndex() == s.GetCount()-1 {
		r.snapshotAt = max(r.snapshotAt, clock.Millis(record.GetAtMillis()))
		r.snapshotBase = max(r.snapshotBase, provider.Offset(s.GetBaseOffset()))
	}
}
