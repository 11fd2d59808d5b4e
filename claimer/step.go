package claimer

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

// Step returns the actions that are due at now. Call it every few hundred milliseconds
// and after each observed record.
func (c *Claimer) Step(now clock.Millis) Actions {
	var a Actions
	for _, n := range c.claimableShards {
		s := c.shard(n)
		if c.ledger.Holder(n) == c.identity {
			a.records = append(a.records, c.renewOrRelease(now, s)...)
			a.promiseCalls = append(a.promiseCalls, c.promiseCalls(now, s)...)
			continue
		}
		if r := c.claim(now, s); r != nil {
			a.records = append(a.records, r)
		}
	}
	c.storeAuthorities()
	return a
}

// Appended handles the result of an append of records that Step returned. Errors that
// guarantee that the log added nothing remove the records from the pending ones. After any
// other result they stay pending until they are read back.
func (c *Claimer) Appended(records []*schema.Record, err error) {
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited, coder.TooLarge:
	default:
		return
	}
	for _, r := range records {
		if name, found := claimedShard(r); found {
			delete(c.shard(name).pending, r.GetId())
		}
	}
	c.storeAuthorities()
}

// renewOrRelease returns the renewal or release that is due. It renews four times as often
// while the list of claimants is outdated or no claim or renewal of its own was read back.
func (c *Claimer) renewOrRelease(now clock.Millis, s *shard) []*schema.Record {
	o := c.ledger.Ownership(s.name)
	interval := c.renewInterval
	if !slices.Equal(o.GetClaimants(), c.peers) || s.renewedAt == noTime {
		interval = c.renewInterval / 4
	}
	if s.lastSentAt != noTime && now < s.lastSentAt+interval {
		return nil
	}
	s.lastSentAt = now
	r := c.newRecord()
	if c.leaving {
		r.Body = &schema.Record_Release{Release: &schema.Release{Shard: s.name, Epoch: o.GetEpoch()}}
		return []*schema.Record{r}
	}
	renewal := &schema.Renewal{
		Shard:       s.name,
		Epoch:       o.GetEpoch(),
		Claimants:   slices.Clone(c.peers),
		Sequence:    o.GetSequence() + 1,
		ClearMillis: int64(remaining(now, s.clearAt)),
	}
	r.Body = &schema.Record_Renewal{Renewal: renewal}
	s.pending[r.GetId()] = pendingRecord{sentAt: now, renewal: renewal}
	return []*schema.Record{r}
}

// claim returns the claim that is due, or nil.
func (c *Claimer) claim(now clock.Millis, s *shard) *schema.Record {
	if c.leaving || !c.claimable(now, s) || s.lastSentAt != noTime && now < s.lastSentAt+c.renewInterval {
		return nil
	}
	o := c.ledger.Ownership(s.name)
	s.lastSentAt = now
	clearAt := c.clearAt(s, o)
	claim := &schema.Claim{
		Shard:            s.name,
		PreviousEpoch:    o.GetEpoch(),
		PreviousSequence: o.GetSequence(),
		Claimants:        slices.Clone(c.peers),
		LapseMillis:      int64(c.claimTTL),
		Holder:           c.identity,
		ClearMillis:      int64(remaining(now, clearAt)),
	}
	r := c.newRecord()
	r.Body = &schema.Record_Claim{Claim: claim}
	s.pending[r.GetId()] = pendingRecord{sentAt: now, claim: claim, clearAt: clearAt}
	return r
}

// claimable reports whether the daemon may claim the shard now: it has recently caught up
// with the stream, the shard is unowned or its claim has expired for certain, no promise
// of its own forbids it, and the delay for its rank has passed.
func (c *Claimer) claimable(now clock.Millis, s *shard) bool {
	if c.fullReadStartedAt == noTime || now > c.fullReadStartedAt+c.renewInterval {
		return false
	}
	o := c.ledger.Ownership(s.name)
	if s.readAt == noTime {
		s.readAt = c.fullReadStartedAt
	}
	since := s.readAt + clock.Millis(Rank(s.name, c.daemon, c.peers))*c.stagger
	if unowned(o) {
		return since <= now
	}
	if s.givenPromise.epoch >= o.GetEpoch() && now < s.givenPromise.until {
		return false
	}
	return since+lengthenForDrift(clock.Millis(o.GetLapseMillis())) <= now
}

// clearAt returns the time from which no earlier holder has authority if the daemon's
// claim becomes valid. A holder that can't reach the log keeps its authority by promises of
// the processes that its claim lists. A listed claimant's own promise therefore bounds that
// authority, but a process that isn't listed must allow for the whole promise limit.
func (c *Claimer) clearAt(s *shard, o *schema.Ownership) clock.Millis {
	if unowned(o) || slices.Contains(o.GetClaimants(), c.identity) {
		return s.clearAt
	}
	return max(s.clearAt, s.readAt+lengthenForDrift(c.promiseLimit))
}

func unowned(o *schema.Ownership) bool { return o.GetEpoch() == NoEpoch || o.GetReleased() }

func remaining(now, clearAt clock.Millis) clock.Millis { return max(clearAt-now, 0) }
