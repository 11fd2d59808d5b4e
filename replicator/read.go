package replicator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// ApplyPage applies a page of the config stream that was read from the offset r.Next(), in a
// call to the log that began at startedAt. It returns the results of the changes on the
// page. The only error has the code LogHole: the log has discarded records that this
// daemon hasn't read. The configuration then stays as it is until all chunks of a
// snapshot after the gap have been read, or a peer sends the missing records or its state.
func (r *Replicator) ApplyPage(now, startedAt clock.Millis, p provider.Page) ([]Result, error) {
	results := r.applyEntries(now, p)
	if r.recovery != nil {
		r.publish()
		return results, coder.New(coder.LogHole, "Replicator.Read: the log discarded the config stream's records from offset %d up to but not including %d, and no whole snapshot has been read yet", r.replica.next(), p.Oldest)
	}
	if r.replica.next() >= p.Next {
		r.upToDateAt = max(r.upToDateAt, startedAt)
		r.upToDateByLogAt = max(r.upToDateByLogAt, startedAt)
		r.caughtUp = true
		maps.DeleteFunc(r.inFlight, func(_ string, sentAt clock.Millis) bool { return startedAt > sentAt+inFlightTimeout })
	}
	r.publish()
	return results, nil
}

func (r *Replicator) applyEntries(now clock.Millis, p provider.Page) []Result {
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

// collectEntry adds an entry read after a gap to the recovery, which ends once a whole
// snapshot has been read.
func (r *Replicator) collectEntry(now clock.Millis, e provider.Entry) {
	r.noteReadBack(e.Data)
	newer, complete := r.recovery.add(e)
	if !complete {
		return
	}
	r.recovery = nil
	// The entries kept for peers must be contiguous.
	r.recentEntries.reset()
	r.advance(now, newer)
}

// applyNext applies the record if it is at the replica's next offset, and ignores it
// otherwise.
func (r *Replicator) applyNext(now clock.Millis, e provider.Entry) []Result {
	if e.Offset != r.replica.next() {
		return nil
	}
	after, result := r.replica.apply(e.Data)
	r.recentEntries.add(e)
	r.noteReadBack(e.Data)
	r.advance(now, after)
	if result == nil {
		return nil
	}
	return []Result{*result}
}

// noteReadBack ends the wait for a record of this process. At the last chunk of any
// snapshot, it stores the snapshot's time and base.
func (r *Replicator) noteReadBack(data []byte) {
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
