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

// setLedgerZone starts a new ledger if there is none yet or the operator's time zone has
// changed, since the ledger counts by days of that zone.
func (c *core) setLedgerZone() {
	o, declared := c.state.Operator()
	if !declared {
		return
	}
	zone, err := time.LoadLocation(o.TimeZone)
	if err != nil || (c.ledger != nil && c.ledger.Zone().String() == zone.String()) {
		return
	}
	c.ledger = meter.NewLedger(zone)
	c.restartRead(provider.StreamUsage, 0)
}

// applyUsage adds an hour's usage record to the ledger.
func (c *core) applyUsage(o provider.Offset, r *schema.Record) {
	u := r.GetUsage()
	if u == nil || c.ledger == nil {
		return
	}
	_, fault := c.ledger.Add(int64(o), u)
	if fault != nil {
		c.addBillFault(*fault)
	}
	if s, own := c.shards[u.GetShard()]; own && c.ledger.IsCounted(int64(o), u) {
		s.meter.ApplyUsage(u)
	}
}

func (c *core) addBillFault(f meter.Fault) {
	c.billFaults = append(c.billFaults, f)
	c.billFaults = c.billFaults[max(0, len(c.billFaults)-maxBillFaults):]
}

// maxBillFaults is how many of the newest billing faults are kept.
const maxBillFaults = 256

// billingState returns a copy of the ledger and the declarations, both of the same
// moment.
func (d *Daemon) billingState(ctx context.Context) (*meter.Ledger, *declarer.State, error) {
	if e := d.notServing(); e != nil {
		return nil, nil, e
	}
	type ledgerAndState struct {
		ledger *schema.LedgerState
		zone   *time.Location
		state  *declarer.State
	}
	copied, err := queryCore(ctx, d, func(c *core) ledgerAndState {
		if c.ledger == nil {
			return ledgerAndState{}
		}
		return ledgerAndState{ledger: c.ledger.Snapshot(), zone: c.ledger.Zone(), state: c.state}
	})
	if err != nil {
		return nil, nil, err
	}
	if copied.ledger == nil {
		return nil, nil, coder.New(coder.NotReady, "Daemon.billingState: no operator is declared, so there is neither currency nor time zone")
	}
	return meter.RestoreLedger(copied.ledger, copied.zone), copied.state, nil
}

func (d *Daemon) forecast(ctx context.Context, r *schema.ForecastRequest) (*schema.ForecastResponse, error) {
	by, err := parseGrouping(r.GetBy())
	if err != nil {
		return nil, err
	}
	l, s, err := d.billingState(ctx)
	if err != nil {
		return nil, err
	}
	f := forecaster.New(l, s, d.now())
	m, err := f.ParseMonth(r.GetMonth())
	if err != nil {
		return nil, err
	}
	return f.Forecast(m).Response(by, s), nil
}

// parseGrouping parses by what to group the lines of a forecast; the default is by team.
func parseGrouping(by string) (pricer.Grouping, error) {
	switch b := pricer.Grouping(by); b {
	case "":
		return pricer.ByTeam, nil
	case pricer.ByTeam, pricer.ByWork, pricer.ByDataCentre, pricer.ByResource:
		return b, nil
	}
	return "", coder.At(coder.BadFormat, "by", "%q is none of team, work, data-centre and resource", by)
}

func (d *Daemon) explain(ctx context.Context, r *schema.ExplainRequest) (*schema.ExplainResponse, error) {
	l, s, err := d.billingState(ctx)
	if err != nil {
		return nil, err
	}
	e := explainer.New(l, s, d.now())
	m, err := e.Forecaster().ParseMonth(r.GetMonth())
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
