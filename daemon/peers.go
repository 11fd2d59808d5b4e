package daemon

import (
	"context"
	"sync/atomic"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/messenger"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/relayer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// peer is another daemon as this one sees it.
	peer struct {
		settings configurer.Peer
		client   *messenger.Client
		// heard is when it last answered.
		heard atomic.Int64
		last  atomic.Pointer[schema.ExchangeResponse]
	}
)

func (d *Daemon) reachPeers() {
	for _, p := range d.settings.Peers {
		d.peers = append(d.peers, &peer{settings: p, client: messenger.NewClient(p.Address, d.settings.Timing.PeerCall)})
	}
}

// handlers answer what peers ask.
func (d *Daemon) handlers() messenger.Handlers {
	return messenger.Handlers{
		Exchange: d.exchanged,
		Promise: func(ctx context.Context, r *schema.PromiseRequest) (*schema.PromiseResponse, error) {
			return within(ctx, d, func(c *core) *schema.PromiseResponse { return c.claimer.Promise(d.now(), r) })
		},
		Relay: d.relayer.Serve,
		Outcome: func(ctx context.Context, r *schema.OutcomeRequest) (*schema.OutcomeResponse, error) {
			return within(ctx, d, func(c *core) *schema.OutcomeResponse { return c.outcomeOf(r.GetKey()) })
		},
	}
}

// within has the core answer a question.
func within[T any](ctx context.Context, d *Daemon, f func(*core) T) (T, error) {
	var none T
	answer := make(chan T, 1)
	if !d.post(func(c *core) { answer <- f(c) }) {
		return none, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return none, coder.New(coder.Unreachable, "the daemon did not decide in time")
	case <-d.ctx.Done():
		return none, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
}

// relayLog has the log reached through peers where it can't be reached directly.
func (d *Daemon) relayLog() {
	d.relayer = relayer.New(d.platform.Log, d.relays, d.now)
	d.platform.Log = d.relayer.Log()
}

// relays are the live peers, those of the same data centre first.
func (d *Daemon) relays() []relayer.Peer {
	var near, far []relayer.Peer
	for _, p := range d.peers {
		r := relayer.Peer{Name: p.settings.Name, Relay: p.client.Relay}
		switch {
		case !d.live(p):
		case p.settings.DataCentre == d.settings.DataCentre:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	return append(near, far...)
}

func (d *Daemon) exchanged(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	return within(ctx, d, func(c *core) *schema.ExchangeResponse { return c.exchanged(r) })
}

func (c *core) exchanged(r *schema.ExchangeRequest) *schema.ExchangeResponse {
	now := c.d.now()
	id := claimer.Identity(r.GetDaemon(), r.GetIncarnation())
	for _, p := range c.d.peers {
		if p.settings.Name == r.GetDaemon() {
			c.heardPeer(p, r.GetIncarnation(), r.GetLeaving())
		}
	}
	c.replicator.Asked(now, id, r.GetDataCentre(), r.GetView())
	out := c.greeting()
	out.View, out.Entries, out.State = c.replicator.Answer(now, r.GetView())
	return out
}

// heardPeer notes that a peer sent a heartbeat or answered one.
func (c *core) heardPeer(p *peer, incarnation int64, leaving bool) {
	p.heard.Store(int64(c.d.now()))
	h := provider.Host{Name: p.settings.Name, Role: provider.RoleEntry, DataCentre: p.settings.DataCentre, Address: p.settings.Address}
	c.gatherer.Heard(c.d.now(), h, formatInt(incarnation), leaving)
}

// greeting is what a daemon says of itself in every exchange.
func (c *core) greeting() *schema.ExchangeResponse {
	return &schema.ExchangeResponse{
		Daemon:      c.d.settings.Name,
		DataCentre:  c.d.settings.DataCentre,
		Incarnation: c.d.incarnation,
		Shards:      c.owned(),
		Leaving:     c.d.leaving.Load(),
	}
}

func (c *core) owned() []*schema.OwnedShard {
	var shards []*schema.OwnedShard
	for _, s := range c.held {
		shards = append(shards, &schema.OwnedShard{Shard: s, Epoch: c.claimer.Ledger().Epoch(s)})
	}
	return shards
}

// exchange sends a heartbeat to a peer.
func (d *Daemon) exchange(p *peer) {
	sent := d.now()
	request, err := within(d.ctx, d, func(c *core) *schema.ExchangeRequest {
		g := c.greeting()
		c.gatherer.Asked(sent, p.settings.Name)
		return &schema.ExchangeRequest{
			Daemon: g.GetDaemon(), DataCentre: g.GetDataCentre(), Incarnation: g.GetIncarnation(),
			View: c.replicator.View(sent), Shards: g.GetShards(), Leaving: g.GetLeaving(),
		}
	})
	if err != nil {
		return
	}
	r, err := p.client.Exchange(d.ctx, request)
	if err != nil {
		d.metrics.Add(measurer.PeerErrors, 1)
		return
	}
	d.post(func(c *core) { c.answered(p, sent, r) })
}

// answered takes in a peer's answer to a heartbeat that was sent at a time.
func (c *core) answered(p *peer, sent clock.Millis, r *schema.ExchangeResponse) {
	p.last.Store(r)
	c.heardPeer(p, r.GetIncarnation(), r.GetLeaving())
	id := claimer.Identity(r.GetDaemon(), r.GetIncarnation())
	results, err := c.replicator.Answered(c.d.now(), sent, id, r.GetDataCentre(), r)
	if err != nil {
		c.d.logger.Emit(logger.RecordCorrupt, logger.String("peer", p.settings.Name), logger.Err(err))
	}
	c.changed(results)
}

// silenceFactor is how many heartbeats a peer may miss before it counts as
// dead.
const silenceFactor = 6

func (d *Daemon) live(p *peer) bool {
	return d.now().Sub(clock.Millis(p.heard.Load())) < silenceFactor*d.settings.Timing.Heartbeat
}

func (d *Daemon) askPromise(a claimer.Ask) {
	for _, p := range d.peers {
		if p.settings.Name != a.Daemon() {
			continue
		}
		d.loops.Go(func() {
			r, err := p.client.Promise(d.ctx, a.Request())
			d.post(func(c *core) { c.claimer.Promised(a, err == nil && r.GetGranted()) })
		})
	}
}

func (c *core) outcomeOf(key string) *schema.OutcomeResponse {
	o := c.outcome(key)
	return &schema.OutcomeResponse{Known: o.Known(), ResultCode: int32(o.Code()), Answer: o.Answer(), State: o.State()}
}

// askOutcome asks daemons of the data centre that a key is at home in.
func (d *Daemon) askOutcome(ctx context.Context, home, key string) (*schema.OutcomeResponse, bool) {
	dc := claimer.DataCentreOf(home)
	for _, p := range d.peers {
		if p.settings.DataCentre != dc || !d.live(p) {
			continue
		}
		if r, err := p.client.Outcome(ctx, &schema.OutcomeRequest{Key: key}); err == nil && r.GetKnown() {
			return r, true
		}
	}
	return nil, false
}

func (d *Daemon) ownStream() string { return provider.StreamOf(d.settings.DataCentre) }
