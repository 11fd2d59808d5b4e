package claimer

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// shard is the state that a daemon keeps for one shard in addition to the ledger.
	// Times are on the daemon's clock.
	shard struct {
		name string
		// readAt is when the last valid claim, renewal or release was read, but no
		// earlier than the start of the first read that reached the end of the stream.
		// The delay before the daemon may claim the shard is counted from it.
		readAt clock.Millis
		// clearAt is the time from which no earlier holder has authority.
		clearAt clock.Millis
		// pending are the records that were sent and not yet read back, by ID.
		pending map[string]pendingRecord
		// renewedAt is when the newest claim or renewal that was read back as valid
		// was sent, or noTime if the daemon doesn't hold the shard.
		renewedAt         clock.Millis
		claimTTL          clock.Millis
		claimants         []string
		lastSentAt        clock.Millis
		lastPromiseCallAt clock.Millis
		// promisedAt is when the request for each claimant's last promise for the
		// current epoch was made, by identity. A promise lasts from that time.
		promisedAt   map[string]clock.Millis
		givenPromise promise
	}

	// pendingRecord is a record that was sent and not yet read back.
	pendingRecord struct {
		sentAt  clock.Millis
		claim   *schema.Claim
		renewal *schema.Renewal
		clearAt clock.Millis
	}

	// promise is the daemon's own promise not to claim a shard before a time, given
	// to the holder of an epoch.
	promise struct {
		epoch int64
		until clock.Millis
	}
)

func newShard(name string) *shard {
	return &shard{
		name:              name,
		readAt:            noTime,
		renewedAt:         noTime,
		lastSentAt:        noTime,
		lastPromiseCallAt: noTime,
		pending:           map[string]pendingRecord{},
		promisedAt:        map[string]clock.Millis{},
		givenPromise:      promise{epoch: NoEpoch},
	}
}

// apply sets the state of the shard from a record or snapshot that was read at now.
func (s *shard) apply(now clock.Millis, o *schema.Ownership) {
	s.readAt = now
	s.claimTTL = clock.Millis(o.GetLapseMillis())
	s.claimants = o.GetClaimants()
	s.clearAt = 0
	if d := clock.Millis(o.GetClearMillis()); d > 0 {
		s.clearAt = now + lengthenForDrift(d)
	}
}

// restore sets the state of the shard from a snapshot. Authority must be confirmed again
// by a new renewal, since the records before the snapshot were not read.
func (s *shard) restore(now clock.Millis, o *schema.Ownership) {
	s.apply(now, o)
	s.dropStalePending(o)
	s.renewedAt = noTime
	clear(s.promisedAt)
}

// observe applies a claim, renewal or release that was read at now. o is the ownership
// after it.
func (s *shard) observe(now clock.Millis, r *schema.Record, valid bool, o *schema.Ownership, identity string) {
	sent, own := s.pending[r.GetId()]
	delete(s.pending, r.GetId())
	if !valid {
		return
	}
	clearAt := s.clearAt
	s.apply(now, o)
	s.dropStalePending(o)
	if o.GetHolder() != identity || o.GetReleased() {
		s.renewedAt = noTime
		clear(s.promisedAt)
		return
	}
	if r.GetClaim() != nil {
		s.renewedAt = noTime
		clear(s.promisedAt)
		clearAt = sent.clearAt
	}
	s.clearAt = clearAt
	if own {
		s.renewedAt = max(s.renewedAt, sent.sentAt)
	}
}

// dropStalePending removes pending records that can't become valid any more.
func (s *shard) dropStalePending(o *schema.Ownership) {
	for id, w := range s.pending {
		if w.claim != nil && !claimCanWin(w.claim, o) {
			delete(s.pending, id)
		}
		if w.renewal != nil && (w.renewal.GetEpoch() != o.GetEpoch() || w.renewal.GetSequence() <= o.GetSequence()) {
			delete(s.pending, id)
		}
	}
}

func claimCanWin(c *schema.Claim, o *schema.Ownership) bool {
	if c.GetPreviousEpoch() != o.GetEpoch() {
		return false
	}
	return o.GetReleased() || c.GetPreviousSequence() == o.GetSequence()
}

// authorityUntil returns the time at which the daemon's authority ends: the later of the
// expiry of the newest claim or renewal that it has read back and, if every possible
// claimant has promised, the expiry of the earliest of their promises, limited by
// promiseLimit.
func (s *shard) authorityUntil(c *Claimer) clock.Millis {
	if s.renewedAt == noTime {
		return noTime
	}
	byLog := s.renewedAt + shortenForDrift(s.claimTTL)
	byPromises := s.renewedAt + shortenForDrift(c.promiseLimit)
	for _, p := range s.possibleClaimants(c.identity) {
		calledAt, promised := s.promisedAt[p]
		if !promised {
			return byLog
		}
		byPromises = min(byPromises, calledAt+shortenForDrift(s.claimTTL))
	}
	return max(byLog, byPromises)
}

// possibleClaimants returns every other process that may have read that it is listed as a
// claimant: those listed in the newest record that was read, and in pending records, which
// the log may already have.
func (s *shard) possibleClaimants(identity string) []string {
	all := slices.Clone(s.claimants)
	for _, w := range s.pending {
		all = append(all, w.renewal.GetClaimants()...)
		all = append(all, w.claim.GetClaimants()...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(p string) bool { return p == identity })
}

// claimPending reports whether a claim of the daemon may still become valid.
func (s *shard) claimPending() bool {
	for _, w := range s.pending {
		if w.claim != nil {
			return true
		}
	}
	return false
}
