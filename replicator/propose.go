package replicator

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

// Propose returns the record that carries a change. The caller appends it to the config
// stream at once and passes the outcome to Appended; the change is accepted once a Result
// says so. On an error nothing may be appended: it has the code of the fault, or NotReady
// for a process that isn't a member yet.
func (r *Replicator) Propose(now clock.Millis, c *schema.Change) (*schema.Record, error) {
	if faults := r.replica.state.Check(c); len(faults) > 0 {
		return nil, faults
	}
	if !r.Member() {
		return nil, coder.New(coder.NotReady, "Replicator.Propose: this daemon is not a member yet: retry at another one, or here in %d ms", r.maxStaleness)
	}
	record := r.newRecord(now)
	c.Process = r.process
	record.Body = &schema.Record_Change{Change: c}
	r.markInFlight(now, record)
	return record, nil
}

// Appended handles the outcome of appending records of Propose or Step. After an
// error that guarantees that nothing was appended, they are no longer in flight. After any
// other outcome, they stay in flight until they are read back or inFlightTimeout passes.
func (r *Replicator) Appended(records []*schema.Record, err error) {
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited, coder.TooLarge:
	default:
		return
	}
	for _, record := range records {
		delete(r.inFlight, record.GetId())
	}
}

// Step returns the records that the daemon itself must append to the config stream now:
// changes of the members, and snapshots. Call it about once a second.
func (r *Replicator) Step(now clock.Millis) []*schema.Record {
	if r.upToDateByLogAt == never || now-r.upToDateByLogAt > r.maxStaleness || now < r.membershipSentAt+membershipInterval {
		return nil
	}
	if m := r.dueMembership(now); m != nil {
		record := r.newRecord(now)
		record.Body = &schema.Record_Membership{Membership: m}
		r.markInFlight(now, record)
		r.membershipSentAt = now
		return []*schema.Record{record}
	}
	return r.dueSnapshot(now)
}

// markInFlight stores the time at which a record was sent to the log.
func (r *Replicator) markInFlight(now clock.Millis, record *schema.Record) {
	r.inFlight[record.GetId()] = now
}

// dueMembership returns the membership change that is due, or nil.
func (r *Replicator) dueMembership(now clock.Millis) *schema.Membership {
	if !r.Member() {
		return r.selfJoin(now)
	}
	if now < r.joinedAt+clock.Millis(r.rank())*membershipInterval {
		return nil
	}
	m := &schema.Membership{}
	for _, p := range r.sortedMembers() {
		if r.shouldDrop(now, p) {
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

// shouldDrop reports whether to drop a member. A member that was dropped and added again
// by others, which still receive its heartbeats, isn't dropped again until redropDelay
// has passed.
func (r *Replicator) shouldDrop(now clock.Millis, process string) bool {
	if process == r.process {
		return false
	}
	if at, wasDropped := r.droppedAt[daemonOf(process)]; wasDropped && now < at+redropDelay {
		return false
	}
	if peer, known := r.peers[process]; known {
		return peer.Dead
	}
	last := r.startedAt
	if h, known := r.peerStates[process]; known {
		last = max(last, h.heardAt)
	}
	return now > last+DropAfter
}

// selfJoin returns the record by which the process adds itself to the members, or nil
// while it must wait for a member to add it. It may add itself only when no member can
// still start work on the confirmation of all members without asking it: there are no
// members; or an earlier process of its own daemon is still listed as a member, and its
// last confirmation has become too old; or the limit for starting work during an outage
// has passed.
func (r *Replicator) selfJoin(now clock.Millis) *schema.Membership {
	m := &schema.Membership{Add: []*schema.Member{{Process: r.process, DataCentre: r.dataCentre}}}
	for p := range r.replica.members {
		if daemonOf(p) == r.daemon {
			m.Drop = append(m.Drop, p)
		}
	}
	switch {
	case len(r.replica.members) == 0:
		m.OnlyFirst = true
	case len(m.GetDrop()) > 0 && now >= r.startedAt+lengthenForDrift(r.maxStaleness):
	case now >= r.startedAt+lengthenForDrift(r.outageLimit):
	default:
		return nil
	}
	return m
}

// dueSnapshot returns the records of the snapshot that is due, or nil. Two daemons that
// write one at the same time do no harm.
func (r *Replicator) dueSnapshot(now clock.Millis) []*schema.Record {
	if !r.Member() || r.replica.next() == 0 {
		return nil
	}
	since := r.replica.next() - r.snapshotBase
	due := addToTime(r.snapshotAt, snapshotInterval)
	if r.snapshotAt == never {
		due = r.joinedAt + snapshotInterval
	}
	if since >= maxRecordsBeforeSnapshot {
		due = addToTime(r.snapshotAt, snapshotStagger)
	}
	if now < due+clock.Millis(r.rank())*snapshotStagger {
		return nil
	}
	r.snapshotAt = now
	id := r.newRecord(now).GetId()
	return r.replica.chunks(id, func() *schema.Record {
		record := r.newRecord(now)
		r.markInFlight(now, record)
		return record
	})
}

// rank returns how many live members precede this one in the order, by hash, in which
// members write membership changes and snapshots.
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
