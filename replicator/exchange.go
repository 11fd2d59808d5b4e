package replicator

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// View gives what the daemon says of its configuration in a request or answer
// that is sent at a time.
func (r *Replicator) View(now clock.Millis) *schema.ConfigView {
	return &schema.ConfigView{
		NextOffset:     int64(r.replica.next()),
		FreshAgeMillis: int64(now - r.fresh),
		Digest:         r.replica.digest,
		Quiet:          r.quiet(),
	}
}

// Answer gives the view for an answer, and the part of the configuration that
// the asker lacks.
func (r *Replicator) Answer(now clock.Millis, asker *schema.ConfigView) (*schema.ConfigView, []*schema.StreamEntry, *schema.ConfigState) {
	v := r.View(now)
	next := provider.Offset(asker.GetNextOffset())
	if next >= r.replica.next() {
		return v, nil, nil
	}
	if entries, kept := r.kept.from(next); kept {
		return v, entries, nil
	}
	return v, nil, r.replica.message()
}

// quiet tells whether the process is a member that has nothing on its way to the
// log, such as a change or a new member.
func (r *Replicator) quiet() bool { return r.Member() && len(r.unsettled) == 0 }

// Asked takes in the view that came with a request of a peer. How long it was
// on its way is not known, so that it says nothing of freshness.
func (r *Replicator) Asked(now clock.Millis, process, dataCentre string, v *schema.ConfigView) {
	h, known := r.heard[process]
	quietAt := never
	if known {
		quietAt = h.quietAt
	}
	r.heard[process] = heard{dataCentre: dataCentre, next: max(h.next, provider.Offset(v.GetNextOffset())), at: now, quietAt: quietAt}
}

// Answered takes in a peer's answer to a request that was sent at a time, and
// gives what became of the changes that came with it. An error has the code
// CorruptRecord: the peer has another configuration of the same offset.
func (r *Replicator) Answered(now, sent clock.Millis, process, dataCentre string, a *schema.ExchangeResponse) ([]Result, error) {
	results := r.receive(now, a)
	v := a.GetView()
	r.Asked(now, process, dataCentre, v)
	next := provider.Offset(v.GetNextOffset())
	if next == r.replica.next() && v.GetDigest() != r.replica.digest {
		return results, coder.New(coder.CorruptRecord, "Replicator.Answered: %s has another configuration at offset %d", process, next)
	}
	if next <= r.replica.next() {
		r.confirm(sent, process, v)
	}
	r.agree(now)
	r.settleByPeers(now)
	r.publish()
	return results, nil
}

// receive applies what came with an answer.
func (r *Replicator) receive(now clock.Millis, a *schema.ExchangeResponse) []Result {
	if s := a.GetState(); s.GetNextOffset() > int64(r.replica.next()) {
		if after, err := replicaOf(s); err == nil {
			r.kept.reset()
			r.advance(now, after)
		}
	}
	var results []Result
	for _, e := range a.GetEntries() {
		results = append(results, r.observe(now, provider.Entry{Offset: provider.Offset(e.GetOffset()), Data: e.GetData()})...)
	}
	if r.holes != nil && r.replica.next() >= r.holes.oldest {
		r.holes = nil
	}
	return results
}

// confirm takes in how fresh a peer's view was that is no newer than ours, by
// when the request was sent, which was before the peer judged it.
func (r *Replicator) confirm(sent clock.Millis, process string, v *schema.ConfigView) {
	age := clock.Millis(v.GetFreshAgeMillis())
	if next := provider.Offset(v.GetNextOffset()); next == r.replica.next() && age >= 0 && age < r.freshFor {
		r.fresh = max(r.fresh, sent-more(age))
	}
	if v.GetQuiet() {
		h := r.heard[process]
		h.quietAt = max(h.quietAt, sent)
		r.heard[process] = h
	}
}

// agree finds the latest time at which every member had added nothing to the
// config stream that this one lacks. A change that is accepted later is one that
// some member sent later.
func (r *Replicator) agree(now clock.Millis) {
	if !r.quiet() {
		return
	}
	at := now
	for p := range r.replica.members {
		if p == r.process {
			continue
		}
		h, known := r.heard[p]
		if !known {
			return
		}
		at = min(at, h.quietAt)
	}
	r.agreed = max(r.agreed, at)
}

// settleByPeers lets the daemon serve by what peers have where the log has
// shown nothing for a while.
func (r *Replicator) settleByPeers(now clock.Millis) {
	if r.fresh != never && now-r.fresh < r.freshFor {
		r.settled = true
	}
	if r.settled || now < r.booted+2*r.freshFor {
		return
	}
	for p := range r.peers {
		if h, known := r.heard[p]; known && h.next > r.replica.next() {
			return
		}
	}
	r.settled = r.replica.next() > 0
}

func (r *Replicator) sortedMembers() []string {
	return slices.Sorted(maps.Keys(r.replica.members))
}
