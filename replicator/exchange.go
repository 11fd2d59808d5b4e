package replicator

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// View returns the daemon's view of the configuration for a request or response sent at
// now.
func (r *Replicator) View(now clock.Millis) *schema.ConfigView {
	return &schema.ConfigView{
		NextOffset:     int64(r.replica.next()),
		FreshAgeMillis: int64(now - r.upToDateAt),
		Digest:         r.replica.digest,
		Quiet:          r.hasNothingInFlight(),
	}
}

// Respond returns the view for a response to a peer, and what the peer lacks: the records
// from its next offset on, or the whole state where those are no longer kept in memory.
func (r *Replicator) Respond(now clock.Millis, peerView *schema.ConfigView) (*schema.ConfigView, []*schema.StreamEntry, *schema.ConfigState) {
	v := r.View(now)
	next := provider.Offset(peerView.GetNextOffset())
	if next >= r.replica.next() {
		return v, nil, nil
	}
	if entries, found := r.recentEntries.from(next); found {
		return v, entries, nil
	}
	return v, nil, r.replica.toMessage()
}

// hasNothingInFlight reports whether the process is a member with no append of its own,
// such as a change or a new member, that may still reach the log.
func (r *Replicator) hasNothingInFlight() bool { return r.Member() && len(r.inFlight) == 0 }

// ObservePeer stores the view from a peer's request. The request's transit time is unknown, so
// the view doesn't confirm how current this configuration is.
func (r *Replicator) ObservePeer(now clock.Millis, process, dataCentre string, v *schema.ConfigView) {
	h, known := r.peerStates[process]
	nothingInFlightAt := never
	if known {
		nothingInFlightAt = h.nothingInFlightAt
	}
	r.peerStates[process] = peerState{dataCentre: dataCentre, next: max(h.next, provider.Offset(v.GetNextOffset())), heardAt: now, nothingInFlightAt: nothingInFlightAt}
}

// HandleResponse handles a peer's response to a request sent at sentAt and returns the results
// of the changes that it carried. An error has the code CorruptRecord: the peer has a
// different configuration at the same offset.
func (r *Replicator) HandleResponse(now, sentAt clock.Millis, process, dataCentre string, a *schema.ExchangeResponse) ([]Result, error) {
	results := r.applyResponse(now, a)
	v := a.GetView()
	r.ObservePeer(now, process, dataCentre, v)
	next := provider.Offset(v.GetNextOffset())
	if next == r.replica.next() && v.GetDigest() != r.replica.digest {
		return results, coder.New(coder.CorruptRecord, "replicator: %s has a different configuration at offset %d", process, next)
	}
	if next <= r.replica.next() {
		r.confirmCurrent(sentAt, process, v)
	}
	r.updateMembersCurrentAt(now)
	r.catchUpFromPeers(now)
	r.publish()
	return results, nil
}

// applyResponse applies the state and the entries of a response.
func (r *Replicator) applyResponse(now clock.Millis, a *schema.ExchangeResponse) []Result {
	if s := a.GetState(); s.GetNextOffset() > int64(r.replica.next()) {
		if newer, err := replicaFromMessage(s); err == nil {
			r.recentEntries.reset()
			r.advance(now, newer)
		}
	}
	var results []Result
	for _, e := range a.GetEntries() {
		results = append(results, r.applyNext(now, provider.Entry{Offset: provider.Offset(e.GetOffset()), Data: e.GetData()})...)
	}
	if r.recovery != nil && r.replica.next() >= r.recovery.oldest {
		r.recovery = nil
	}
	return results
}

// confirmCurrent advances upToDateAt by the view of a peer whose configuration is no newer
// than this one. The age counts from the time the request was sent, since the peer
// computed it later than that.
func (r *Replicator) confirmCurrent(sentAt clock.Millis, process string, v *schema.ConfigView) {
	age := clock.Millis(v.GetFreshAgeMillis())
	if next := provider.Offset(v.GetNextOffset()); next == r.replica.next() && age >= 0 && age < r.maxStaleness {
		r.upToDateAt = max(r.upToDateAt, sentAt-lengthenForDrift(age))
	}
	if v.GetQuiet() {
		h := r.peerStates[process]
		h.nothingInFlightAt = max(h.nothingInFlightAt, sentAt)
		r.peerStates[process] = h
	}
}

// updateMembersCurrentAt sets membersCurrentAt to the earliest of the times at which each
// member last had nothing in flight. A change accepted later was sent by some member
// after that.
func (r *Replicator) updateMembersCurrentAt(now clock.Millis) {
	if !r.hasNothingInFlight() {
		return
	}
	at := now
	for p := range r.replica.members {
		if p == r.process {
			continue
		}
		h, known := r.peerStates[p]
		if !known {
			return
		}
		at = min(at, h.nothingInFlightAt)
	}
	r.membersCurrentAt = max(r.membersCurrentAt, at)
}

// catchUpFromPeers lets the daemon serve once the configuration is confirmed, or, where
// the log can't be read for twice the maximum staleness after the start, once no peer
// reports a newer one.
func (r *Replicator) catchUpFromPeers(now clock.Millis) {
	if r.upToDateAt != never && now-r.upToDateAt < r.maxStaleness {
		r.caughtUp = true
	}
	if r.caughtUp || now < r.startedAt+2*r.maxStaleness {
		return
	}
	for p := range r.peers {
		if h, known := r.peerStates[p]; known && h.next > r.replica.next() {
			return
		}
	}
	r.caughtUp = r.replica.next() > 0
}

func (r *Replicator) sortedMembers() []string {
	return slices.Sorted(maps.Keys(r.replica.members))
}
