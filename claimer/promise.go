package claimer

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

// Promise handles a holder's request that this process doesn't claim the shard for a
// window. It refuses if the request is for another process or an outdated epoch, if the
// claim was released or is its own, or if a claim of its own is pending. It grants requests
// for an epoch that it has not read yet.
func (c *Claimer) Promise(now clock.Millis, r *schema.PromiseRequest) *schema.PromiseResponse {
	s := c.shard(r.GetShard())
	o := c.ledger.Ownership(s.name)
	if r.GetClaimant() != c.identity || r.GetEpoch() < o.GetEpoch() || s.claimPending() {
		return &schema.PromiseResponse{}
	}
	if r.GetEpoch() == o.GetEpoch() && (o.GetReleased() || o.GetHolder() == c.identity) {
		return &schema.PromiseResponse{}
	}
	until := now + lengthenForDrift(clock.Millis(r.GetWindowMillis()))
	s.givenPromise = promise{epoch: max(s.givenPromise.epoch, r.GetEpoch()), until: max(s.givenPromise.until, until)}
	return &schema.PromiseResponse{Granted: true}
}

// HandlePromiseResponse handles a peer's response to a promise request. The promise lasts from when
// the request was made; refusals change nothing.
func (c *Claimer) HandlePromiseResponse(a PromiseCall, granted bool) {
	s := c.shard(a.request.GetShard())
	if c.ledger.Epoch(s.name) != a.request.GetEpoch() {
		return
	}
	if previous, known := s.promisedAt[a.request.GetClaimant()]; granted && (!known || previous < a.sentAt) {
		s.promisedAt[a.request.GetClaimant()] = a.sentAt
	}
	c.storeAuthorities()
}

// promiseCalls returns the promise requests that are due for a shard that the daemon
// holds.
func (c *Claimer) promiseCalls(now clock.Millis, s *shard) []PromiseCall {
	if c.leaving || s.renewedAt == noTime || s.lastPromiseCallAt != noTime && now < s.lastPromiseCallAt+c.renewInterval {
		return nil
	}
	s.lastPromiseCallAt = now
	o := c.ledger.Ownership(s.name)
	var calls []PromiseCall
	for _, p := range s.possibleClaimants(c.identity) {
		calls = append(calls, PromiseCall{sentAt: now, request: &schema.PromiseRequest{
			Shard:        s.name,
			Epoch:        o.GetEpoch(),
			Holder:       c.identity,
			WindowMillis: int64(s.claimTTL),
			Claimant:     p,
		}})
	}
	return calls
}
