package replicator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// Read applies a page of the config stream that was read from Next, in a call to the log
// begun at requestedAt. It returns the results of the changes on it. An error has the
// code LogHole: records that were never read have been discarded from the log, and the
// configuration stays as it is until a whole snapshot that replaces them is found.
func (r *Replicator) Read(now, requestedAt clock.Millis, p provider.Page) ([]Result, error) {
	results := r.applyPage(now, p)
	if r.recovery != nil {
		r.publish()
		return results, coder.New(coder.LogHole, "Replicator.Read: records from offset %d to %d of the config stream were discarded, and no whole snapshot has been found yet", r.replica.next(), p.Oldest)
	}
	if r.replica.next() >= p.Next {
		r.currentAt = max(r.currentAt, requestedAt)
		r.logCurrentAt = max(r.logCurrentAt, requestedAt)
		r.caughtUp = true
		maps.DeleteFunc(r.inFlight, func(_ string, sentAt clock.Millis) bool { return requestedAt > sentAt+inFlightTimeout })
	}
	r.publish()
	return results, nil
}

func (r *Replicator) applyPage(now clock.Millis, p provider.Page) []Result {
	if r.recovery == nil && p.Oldest > r.replica.next() {
		r.recovery = newCollector(p.Oldest)
	}
	var results []Result
	for _, e := range p.Entries {
		if r.recovery != nil {
			r.collectEntry(now, e)
			continue
		}
		results = append(results, r.applyNext(now, e)...)
	}
	if r.recovery != nil && r.replica.next() >= r.recovery.oldest {
		r.recovery = nil
	}
	return results
}

func (r *Replicator) collectEntry(now clock.Millis, e provider.Entry) {
	r.noteInLog(e.Data)
	newer, complete := r.recovery.add(e)
	if !complete {
		return
	}
	r.recovery = nil
	r.recent.reset()
	r.advance(now, newer)
}

// applyNext applies the record at the next offset; any other is ignored.
func (r *Replicator) applyNext(now clock.Millis, e provider.Entry) []Result {
	if e.Offset != r.replica.next() {
		return nil
	}
	after, result := r.replica.apply(e.Data)
	r.recent.add(e)
	r.noteInLog(e.Data)
	r.advance(now, after)
	if result == nil {
		return nil
	}
	return []Result{*result}
}

// noteInLog marks a record of this process as read back, and notes the time and base of a
// snapshot.
func (r *Replicator) noteInLog(data []byte) {
	record := &schema.Record{}
	if proto.Unmarshal(data, record) != nil {
		return
	}
	delete(r.inFlight, record.GetId())
	if s := record.GetSnapshot(); s != nil && s.GetIndex() == s.GetCount()-1 {
		r.snapshotAt = max(r.snapshotAt, clock.Millis(record.GetAtMillis()))
		r.snapshotBase = max(r.snapshotBase, provider.Offset(s.GetBaseOffset()))
	}
}
