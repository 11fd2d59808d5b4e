package replicator

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

// Propose gives the record that carries a change, to be appended to the config
// stream at once and settled by Appended or by reading it back; it is accepted
// once a Result says so. An error means that nothing was or may be appended: it
// has the code of the fault, or NotReady for a process that is no member yet.
func (r *Replicator) Propose(now clock.Millis, c *schema.Change) (*schema.Record, error) {
	if faults := r.replica.state.Check(c); len(faults) > 0 {
		return nil, faults
	}
	if !r.Member() {
		return nil, coder.New(coder.NotReady, "Replicator.Propose: this daemon has not joined yet: ask another, or again in %d ms", r.freshFor)
	}
	record := r.record(now)
	c.Process = r.process
	record.Body = &schema.Record_Change{Change: c}
	r.send(now, record)
	return record, nil
}

// Appended tells how an append of records of Propose or Step ended. Only an
// error that says that nothing was added settles their fate; else they are read
// back.
func (r *Replicator) Appended(records []*schema.Record, err error) {
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited, coder.TooLarge:
	default:
		return
	}
	for _, one := range records {
		delete(r.unsettled, one.GetId())
	}
}

// Step gives the records that the daemon itself has to append to the config
// stream: who joins or is dropped, and snapshots. It is called every second or
// so.
func (r *Replicator) Step(now clock.Millis) []*schema.Record {
	if r.direct == never || now-r.direct > r.freshFor || now < r.steppedAt+repeatAfter {
		return nil
	}
	if m := r.membership(now); m != nil {
		one := r.record(now)
		one.Body = &schema.Record_Membership{Membership: m}
		r.send(now, one)
		r.steppedAt = now
		return []*schema.Record{one}
	}
	return r.snapshot(now)
}

// send notes that a record is on its way to the log.
func (r *Replicator) send(now clock.Millis, record *schema.Record) {
	r.unsettled[record.GetId()] = now
}

// membership gives the change of the members that is due, or nil.
func (r *Replicator) membership(now clock.Millis) *schema.Membership {
	if !r.Member() {
		return r.join(now)
	}
	if now < r.joinedAt+clock.Millis(r.rank())*repeatAfter {
		return nil
	}
	m := &schema.Membership{}
	for _, p := range r.sortedMembers() {
		if r.gone(now, p) {
			r.droppedAt[daemonOf(p)] = now
			m.Drop = append(m.Drop, p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		p := r.peers[name]
		if _, member := r.replica.members[name]; !member && !p.Dead {
			m.Add = append(m.Add, &schema.Member{Process: name, DataCentre: p.DataCentre})
		}
	}
	if len(m.GetAdd())+len(m.GetDrop()) == 0 {
		return nil
	}
	return m
}

// gone tells whether to drop a member. One that others add again, since they
// hear it, is not dropped again for a while.
func (r *Replicator) gone(now clock.Millis, process string) bool {
	if process == r.process {
		return false
	}
	if at, before := r.droppedAt[daemonOf(process)]; before && now < at+dropAgainAfter {
		return false
	}
	if peer, known := r.peers[process]; known {
		return peer.Dead
	}
	last := r.booted
	if h, known := r.heard[process]; known {
		last = max(last, h.at)
	}
	return now > last+DropAfter
}

// join lets a process make itself a member where nobody can go on by the word of
// all members while it changes the configuration: there were no members, or one
// of them was its own daemon's last process, whose word has since grown old, or
// the limit for going on so has passed. Else a member adds it.
func (r *Replicator) join(now clock.Millis) *schema.Membership {
	m := &schema.Membership{Add: []*schema.Member{{Process: r.process, DataCentre: r.dataCentre}}}
	for p := range r.replica.members {
		if daemonOf(p) == r.daemon {
			m.Drop = append(m.Drop, p)
		}
	}
	switch {
	case len(r.replica.members) == 0:
		m.OnlyFirst = true
	case len(m.GetDrop()) > 0 && now >= r.booted+more(r.freshFor):
	case now >= r.booted+more(r.agreeLimit):
	default:
		return nil
	}
	return m
}

// snapshot gives the snapshot that is due, or nil. Two are harmless.
func (r *Replicator) snapshot(now clock.Millis) []*schema.Record {
	if !r.Member() || r.replica.next() == 0 {
		return nil
	}
	since := r.replica.next() - r.snapshotBase
	due := add(r.snapshotAt, snapshotEvery)
	if r.snapshotAt == never {
		due = r.joinedAt + snapshotEvery
	}
	if since >= snapshotRecords {
		due = add(r.snapshotAt, snapshotStagger)
	}
	if now < due+clock.Millis(r.rank())*snapshotStagger {
		return nil
	}
	r.snapshotAt = now
	id := r.record(now).GetId()
	return r.replica.chunks(id, func() *schema.Record {
		one := r.record(now)
		r.send(now, one)
		return one
	})
}

// rank gives how many members come before this one in the order of who writes.
func (r *Replicator) rank() int {
	own := xxhash.Sum64String(r.process)
	rank := 0
	for p := range r.replica.members {
		if peer, known := r.peers[p]; known && !peer.Dead && xxhash.Sum64String(p) > own {
			rank++
		}
	}
	return rank
}
