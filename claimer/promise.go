package claimer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

// Promise answers a holder that asks the daemon not to claim for a window.
func (c *Claimer) Promise(now clock.Millis, r *schema.PromiseRequest) *schema.PromiseResponse {
	s := c.shard(r.GetShard())
	o := c.ledger.Ownership(s.name)
	if r.GetClaimant() != c.identity || r.GetEpoch() < o.GetEpoch() || s.claiming() {
		return &schema.PromiseResponse{}
	}
	if r.GetEpoch() == o.GetEpoch() && (o.GetReleased() || o.GetHolder() == c.identity) {
		return &schema.PromiseResponse{}
	}
	until := now + more(clock.Millis(r.GetWindowMillis()))
	s.promised = promise{epoch: max(s.promised.epoch, r.GetEpoch()), until: max(s.promised.until, until)}
	return &schema.PromiseResponse{Granted: true}
}

// Promised tells how a peer answered.
func (c *Claimer) Promised(a Ask, granted bool) {
	s := c.shard(a.request.GetShard())
	if c.ledger.Epoch(s.name) != a.request.GetEpoch() {
		return
	}
	if at, before := s.promises[a.request.GetClaimant()]; granted && (!before || at < a.at) {
		s.promises[a.request.GetClaimant()] = a.at
	}
	c.publish()
}

// ask gives the promises that are due to be renewed.
func (c *Claimer) ask(now clock.Millis, s *shard) []Ask {
	if c.leaving || s.confirmed == never || s.askedAt != never && now < s.askedAt+c.renewEvery {
		return nil
	}
	s.askedAt = now
	o := c.ledger.Ownership(s.name)
	var asks []Ask
	for _, p := range s.promisers(c.identity) {
		asks = append(asks, Ask{at: now, request: &schema.PromiseRequest{
			Shard:        s.name,
			Epoch:        o.GetEpoch(),
			Holder:       c.identity,
			WindowMillis: int64(s.lapse),
			Claimant:     p,
		}})
	}
	return asks
}
