package daemon

import (
	"context"
	"time"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// setZone begins the ledger anew where the operator's time zone is not that of
// its days.
func (c *core) setZone() {
	o, declared := c.state.Operator()
	if !declared {
		return
	}
	zone, err := time.LoadLocation(o.TimeZone)
	if err != nil || (c.ledger != nil && c.ledger.Zone().String() == zone.String()) {
		return
	}
	c.ledger = meter.NewLedger(zone)
	c.d.rewind(provider.StreamUsage)
}

// usage counts an hour's record.
func (c *core) usage(o provider.Offset, r *schema.Record) {
	c.d.outbox.confirm(r.GetId())
	u := r.GetUsage()
	if u == nil || c.ledger == nil {
		return
	}
	counts, fault := c.ledger.Add(int64(o), u)
	if fault != nil {
		c.billFault(*fault)
	}
	if !counts {
		return
	}
	if m, own := c.meters[u.GetShard()]; own {
		m.Recorded(u)
	}
}

// meterEvent meters a record of the own data centre that counts.
func (c *core) meterEvent(o provider.Offset, r *schema.Record) {
	at := clock.Millis(r.GetAtMillis())
	if t := r.GetTask(); t != nil {
		if m, known := c.meters[t.GetShard()]; known {
			m.Apply(int64(o), at, t)
		}
	}
}

// sampled meters what a task used.
func (c *core) sampled(e keeper.Event) {
	u := e.Usage()
	from, until := e.Span()
	for _, m := range c.meters {
		m.Sample(u.Incarnation.Task, u.Incarnation.Number, from, until, u.Millicores, u.Memory, 0)
	}
}

// bill has the owner of a shard write the record of an hour that is over.
func (c *core) bill(shard string, now clock.Millis, a keeper.Authority) {
	m := c.meters[shard]
	for _, f := range m.TakeFaults() {
		c.billFault(f)
	}
	if a.Epoch() == claimer.NoEpoch || c.ledger == nil || now < c.billAt[shard] {
		return
	}
	u := m.Due(now)
	if u == nil {
		return
	}
	c.billAt[shard] = now.Add(billRetry)
	u.Epoch = a.Epoch()
	c.d.outbox.add(provider.StreamUsage, &schema.Record{
		Id: c.d.id(), AtMillis: int64(now), Daemon: c.d.settings.Name,
		Body: &schema.Record_Usage{Usage: u},
	})
}

// billRetry is how long an hour's record is given to be read back.
const billRetry = 10 * clock.Second

func (c *core) billFault(f meter.Fault) {
	c.faults = append(c.faults, f)
	c.faults = c.faults[max(0, len(c.faults)-maxBillFaults):]
}

// maxBillFaults is how many faults of the bill are kept for its readers.
const maxBillFaults = 256

func (d *Daemon) forecast(context.Context, *schema.ForecastRequest) (*schema.ForecastResponse, error) {
	return nil, coder.New(coder.NotReady, "Daemon.forecast: no forecast yet")
}

func (d *Daemon) explain(context.Context, *schema.ExplainRequest) (*schema.ExplainResponse, error) {
	return nil, coder.New(coder.NotReady, "Daemon.explain: no explanation yet")
}
