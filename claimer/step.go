package claimer

import (
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

// Step gives what is to be done at a time. It is called every few hundred
// milliseconds, and after anything was observed.
func (c *Claimer) Step(now clock.Millis) Actions {
	var a Actions
	for _, n := range c.names {
		s := c.shard(n)
		if c.ledger.Holder(n) == c.identity {
			a.records = append(a.records, c.hold(now, s)...)
			a.asks = append(a.asks, c.ask(now, s)...)
			continue
		}
		if r := c.claim(now, s); r != nil {
			a.records = append(a.records, r)
		}
	}
	c.publish()
	return a
}

// Appended tells how an append of records that Step gave ended. Only an error
// that says that nothing was added settles their fate; else they are read back.
func (c *Claimer) Appended(records []*schema.Record, err error) {
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited, coder.TooLarge:
	default:
		return
	}
	for _, r := range records {
		if name, isClaim := claimShard(r); isClaim {
			delete(c.shard(name).sent, r.GetId())
		}
	}
	c.publish()
}

// hold gives the renewal or release that is due.
func (c *Claimer) hold(now clock.Millis, s *shard) []*schema.Record {
	o := c.ledger.Ownership(s.name)
	wait := c.renewEvery
	if !slices.Equal(o.GetClaimants(), c.peers) || s.confirmed == never {
		wait = c.renewEvery / 4
	}
	if s.sentAt != never && now < s.sentAt+wait {
		return nil
	}
	s.sentAt = now
	r := c.record()
	if c.leaving {
		r.Body = &schema.Record_Release{Release: &schema.Release{Shard: s.name, Epoch: o.GetEpoch()}}
		return []*schema.Record{r}
	}
	renewal := &schema.Renewal{
		Shard:       s.name,
		Epoch:       o.GetEpoch(),
		Claimants:   slices.Clone(c.peers),
		Sequence:    o.GetSequence() + 1,
		ClearMillis: int64(clearIn(now, s.clearAt)),
	}
	r.Body = &schema.Record_Renewal{Renewal: renewal}
	s.sent[r.GetId()] = sending{at: now, renewal: renewal}
	return []*schema.Record{r}
}

// claim gives the claim that is due, or nil.
func (c *Claimer) claim(now clock.Millis, s *shard) *schema.Record {
	if c.leaving || !c.ready(now, s) || s.sentAt != never && now < s.sentAt+c.renewEvery {
		return nil
	}
	o := c.ledger.Ownership(s.name)
	s.sentAt = now
	clearAt := c.clearAt(s, o)
	claim := &schema.Claim{
		Shard:            s.name,
		PreviousEpoch:    o.GetEpoch(),
		PreviousSequence: o.GetSequence(),
		Claimants:        slices.Clone(c.peers),
		LapseMillis:      int64(c.lapse),
		Holder:           c.identity,
		ClearMillis:      int64(clearIn(now, clearAt)),
	}
	r := c.record()
	r.Body = &schema.Record_Claim{Claim: claim}
	s.sent[r.GetId()] = sending{at: now, claim: claim, clearAt: clearAt}
	return r
}

// ready tells whether the shard is free, or lapsed for certain.
func (c *Claimer) ready(now clock.Millis, s *shard) bool {
	if c.caughtUpAt == never || now > c.caughtUpAt+c.renewEvery {
		return false
	}
	o := c.ledger.Ownership(s.name)
	if s.readAt == never {
		s.readAt = c.caughtUpAt
	}
	from := s.readAt + clock.Millis(Rank(s.name, c.daemon, c.peers))*c.stagger
	if free(o) {
		return from <= now
	}
	if s.promised.epoch >= o.GetEpoch() && now < s.promised.until {
		return false
	}
	return from+more(clock.Millis(o.GetLapseMillis())) <= now
}

// clearAt gives from when on no earlier holder has authority once the daemon's
// claim counts. A holder that the log doesn't reach may go on by promises of the
// processes that its claim lists; of others it need not have any.
func (c *Claimer) clearAt(s *shard, o *schema.Ownership) clock.Millis {
	if free(o) || slices.Contains(o.GetClaimants(), c.identity) {
		return s.clearAt
	}
	return max(s.clearAt, s.readAt+more(c.promiseLimit))
}

func free(o *schema.Ownership) bool { return o.GetEpoch() == NoEpoch || o.GetReleased() }

func clearIn(now, clearAt clock.Millis) clock.Millis { return max(clearAt-now, 0) }
