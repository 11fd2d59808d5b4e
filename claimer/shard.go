package claimer

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// shard is what a daemon knows of one shard beside the ledger.
	shard struct {
		name string
		// readAt is when the last record that counts was read.
		readAt clock.Millis
		// clearAt is from when on no earlier holder has authority.
		clearAt clock.Millis
		// sent are the records whose fate is not known, by their id.
		sent map[string]sending
		// confirmed is when the newest record that counts was sent, never
		// where the daemon doesn't hold the shard.
		confirmed clock.Millis
		lapse     clock.Millis
		claimants []string
		sentAt    clock.Millis
		askedAt   clock.Millis
		// promises are when each claimant was asked for its last promise of
		// the epoch in force.
		promises map[string]clock.Millis
		promised promise
	}

	// sending is a record that was sent and not yet read back.
	sending struct {
		at      clock.Millis
		claim   *schema.Claim
		renewal *schema.Renewal
		clearAt clock.Millis
	}

	// promise is what the daemon promised to a holder.
	promise struct {
		epoch int64
		until clock.Millis
	}
)

func newShard(name string) *shard {
	return &shard{
		name:      name,
		readAt:    never,
		confirmed: never,
		sentAt:    never,
		askedAt:   never,
		sent:      map[string]sending{},
		promises:  map[string]clock.Millis{},
		promised:  promise{epoch: NoEpoch},
	}
}

// read takes in the state of the shard as of a record or snapshot that was
// read at a time.
func (s *shard) read(now clock.Millis, o *schema.Ownership) {
	s.readAt = now
	s.lapse = clock.Millis(o.GetLapseMillis())
	s.claimants = o.GetClaimants()
	s.clearAt = 0
	if d := clock.Millis(o.GetClearMillis()); d > 0 {
		s.clearAt = now + more(d)
	}
}

// restore takes in a state whose records were not read.
func (s *shard) restore(now clock.Millis, o *schema.Ownership) {
	s.read(now, o)
	s.settle(o)
	s.confirmed = never
	clear(s.promises)
}

func (s *shard) observe(now clock.Millis, r *schema.Record, counts bool, o *schema.Ownership, identity string) {
	was, mine := s.sent[r.GetId()]
	delete(s.sent, r.GetId())
	if !counts {
		return
	}
	clearAt := s.clearAt
	s.read(now, o)
	s.settle(o)
	if o.GetHolder() != identity || o.GetReleased() {
		s.confirmed = never
		clear(s.promises)
		return
	}
	if r.GetClaim() != nil {
		s.confirmed = never
		clear(s.promises)
		clearAt = was.clearAt
	}
	s.clearAt = clearAt
	if mine {
		s.confirmed = max(s.confirmed, was.at)
	}
}

// settle forgets sent records that can no longer count.
func (s *shard) settle(o *schema.Ownership) {
	for id, w := range s.sent {
		if w.claim != nil && !claimCouldCount(w.claim, o) {
			delete(s.sent, id)
		}
		if w.renewal != nil && (w.renewal.GetEpoch() != o.GetEpoch() || w.renewal.GetSequence() <= o.GetSequence()) {
			delete(s.sent, id)
		}
	}
}

func claimCouldCount(c *schema.Claim, o *schema.Ownership) bool {
	if c.GetPreviousEpoch() != o.GetEpoch() {
		return false
	}
	return o.GetReleased() || c.GetPreviousSequence() == o.GetSequence()
}

// until gives when the holder's authority ends: by the newest confirmed
// record, or by the promises of all who could claim.
func (s *shard) until(c *Claimer) clock.Millis {
	if s.confirmed == never {
		return never
	}
	byLog := s.confirmed + less(s.lapse)
	byPromises := s.confirmed + less(c.promiseLimit)
	for _, p := range s.promisers(c.identity) {
		at, given := s.promises[p]
		if !given {
			return byLog
		}
		byPromises = min(byPromises, at+less(s.lapse))
	}
	return max(byLog, byPromises)
}

// promisers gives every process that may hold itself to be listed: those of the
// newest record that was read, and of any that may since have been added.
func (s *shard) promisers(identity string) []string {
	all := slices.Clone(s.claimants)
	for _, w := range s.sent {
		all = append(all, w.renewal.GetClaimants()...)
		all = append(all, w.claim.GetClaimants()...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(p string) bool { return p == identity })
}

// claiming tells whether a claim of the daemon's may yet come to count.
func (s *shard) claiming() bool {
	for _, w := range s.sent {
		if w.claim != nil {
			return true
		}
	}
	return false
}
