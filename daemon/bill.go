package daemon

import (
	"context"
	"time"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/explainer"
	"galenawharf.example/galenawharf/forecaster"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
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
	c.readAgain(provider.StreamUsage, 0)
}

// usage counts an hour's record.
func (c *core) usage(o provider.Offset, r *schema.Record) {
	u := r.GetUsage()
	if u == nil || c.ledger == nil {
		return
	}
	_, fault := c.ledger.Add(int64(o), u)
	if fault != nil {
		c.billFault(*fault)
	}
	if s, own := c.shards[u.GetShard()]; own && c.ledger.Counts(int64(o), u) {
		s.meter.Recorded(u)
	}
}

func (c *core) billFault(f meter.Fault) {
	c.faults = append(c.faults, f)
	c.faults = c.faults[max(0, len(c.faults)-maxBillFaults):]
}

// maxBillFaults is how many faults of the bill are kept for its readers.
const maxBillFaults = 256

// books gives a copy of the ledger and the declarations of one moment.
func (d *Daemon) books(ctx context.Context) (*meter.Ledger, *declarer.State, error) {
	if e := d.unable(); e != nil {
		return nil, nil, e
	}
	type copied struct {
		ledger *schema.LedgerState
		zone   *time.Location
		state  *declarer.State
	}
	b, err := within(ctx, d, func(c *core) copied {
		if c.ledger == nil {
			return copied{}
		}
		return copied{ledger: c.ledger.Snapshot(), zone: c.ledger.Zone(), state: c.state}
	})
	if err != nil {
		return nil, nil, err
	}
	if b.ledger == nil {
		return nil, nil, coder.New(coder.NotReady, "Daemon.books: no operator is declared, so there is neither currency nor time zone")
	}
	return meter.RestoreLedger(b.ledger, b.zone), b.state, nil
}

func (d *Daemon) forecast(ctx context.Context, r *schema.ForecastRequest) (*schema.ForecastResponse, error) {
	by, err := groupOf(r.GetBy())
	if err != nil {
		return nil, err
	}
	l, s, err := d.books(ctx)
	if err != nil {
		return nil, err
	}
	f := forecaster.New(l, s, d.now())
	m, err := f.Parse(r.GetMonth())
	if err != nil {
		return nil, err
	}
	return f.Forecast(m).Response(by, s), nil
}

// groupOf reads by what the lines of a forecast are grouped.
func groupOf(by string) (pricer.By, error) {
	switch b := pricer.By(by); b {
	case "":
		return pricer.ByTeam, nil
	case pricer.ByTeam, pricer.ByWork, pricer.ByDataCentre, pricer.ByResource:
		return b, nil
	}
	return "", coder.At(coder.BadFormat, "by", "%q is none of team, work, data-centre and resource", by)
}

func (d *Daemon) explain(ctx context.Context, r *schema.ExplainRequest) (*schema.ExplainResponse, error) {
	l, s, err := d.books(ctx)
	if err != nil {
		return nil, err
	}
	e := explainer.New(l, s, d.now())
	m, err := e.Forecaster().Parse(r.GetMonth())
	if err != nil {
		return nil, err
	}
	if items := r.GetWhatIf(); len(items) > 0 {
		x, err := e.WhatIf(m, &schema.Change{Items: items})
		if err != nil {
			return nil, err
		}
		return x.Response(), nil
	}
	against := explainer.Against(r.GetAgainst())
	if against == "" {
		against = explainer.AgainstLastMonth
	}
	x, err := e.Explain(m, against)
	if err != nil {
		return nil, err
	}
	return x.Response(), nil
}
