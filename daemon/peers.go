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
	"galenawharf.example/galenawharf/schema"
)

type (
	// peer is another daemon as this one sees it.
	peer struct {
		settings configurer.Peer
		client   *messenger.Client
		// heard is when it last answered.
		heard atomic.Int64
		lost  atomic.Bool
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
		Relay: d.relayed,
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

func (d *Daemon) exchanged(ctx context.Context, r *schema.ExchangeRequest) (*schema.ExchangeResponse, error) {
	for _, p := range d.peers {
		if p.settings.Name == r.GetDaemon() {
			p.heard.Store(int64(d.now()))
		}
	}
	return within(ctx, d, func(c *core) *schema.ExchangeResponse { return c.exchangeResponse() })
}

func (c *core) exchangeResponse() *schema.ExchangeResponse {
	return &schema.ExchangeResponse{
		Daemon:      c.d.settings.Name,
		DataCentre:  c.d.settings.DataCentre,
		Incarnation: c.d.incarnation,
		View:        &schema.ConfigView{NextOffset: c.state.Next()},
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
	own, err := within(d.ctx, d, func(c *core) *schema.ExchangeResponse { return c.exchangeResponse() })
	if err != nil {
		return
	}
	r, err := p.client.Exchange(d.ctx, &schema.ExchangeRequest{
		Daemon: own.GetDaemon(), DataCentre: own.GetDataCentre(), Incarnation: own.GetIncarnation(),
		View: own.GetView(), Shards: own.GetShards(), Leaving: own.GetLeaving(),
	})
	if err != nil {
		d.metrics.Add(measurer.PeerErrors, 1)
		if !p.lost.Swap(true) {
			d.logger.Emit(logger.PeerLost, logger.String("peer", p.settings.Name), logger.Err(err))
		}
	} else {
		p.heard.Store(int64(d.now()))
		p.last.Store(r)
		if p.lost.Swap(false) {
			d.logger.Emit(logger.PeerBack, logger.String("peer", p.settings.Name))
		}
	}
	d.post(func(c *core) { c.claimer.SetPeers(d.livePeers()) })
}

// silenceFactor is how many heartbeats a peer may miss before it counts as
// dead.
const silenceFactor = 6

func (d *Daemon) live(p *peer) bool {
	return d.now().Sub(clock.Millis(p.heard.Load())) < silenceFactor*d.settings.Timing.Heartbeat
}

// livePeers gives the identities of the live daemons of the same data centre.
func (d *Daemon) livePeers() []string {
	var ids []string
	for _, p := range d.peers {
		last := p.last.Load()
		if p.settings.DataCentre == d.settings.DataCentre && last != nil && !last.GetLeaving() && d.live(p) {
			ids = append(ids, claimer.Identity(p.settings.Name, last.GetIncarnation()))
		}
	}
	return ids
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

func (d *Daemon) relayed(ctx context.Context, r *schema.RelayRequest) (*schema.RelayResponse, error) {
	o, err := d.append(ctx, r.GetStream(), r.GetRecords())
	return &schema.RelayResponse{FirstOffset: int64(o), ResultCode: int32(coder.Of(err))}, nil
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
