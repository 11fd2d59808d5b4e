package daemon

import (
	"context"
	"encoding/json"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/replicator"
	"galenawharf.example/galenawharf/schema"
)

// apply puts a change into the log and waits until it was read back, which is
// when it is accepted or refused.
func (d *Daemon) apply(ctx context.Context, r *schema.ApplyRequest) (*schema.ApplyResponse, error) {
	if e := d.unable(); e != nil {
		return nil, e
	}
	for _, i := range r.GetItems() {
		if declarer.Kind(i.GetKind()) == declarer.KindDrain {
			return nil, coder.New(coder.BadFormat, "Daemon.apply: drains are changed by drain and restore alone")
		}
	}
	change := &schema.Change{Operator: r.GetOperator(), Items: r.GetItems()}
	if faults := d.state.Load().Check(change); len(faults) > 0 && coder.Of(faults) != coder.StaleVersion {
		return nil, faults
	}
	if faults := declarer.PastPrices(d.state.Load(), change, d.now()); len(faults) > 0 {
		return nil, faults
	}
	v, err := d.putChange(ctx, change)
	if err != nil {
		return nil, err
	}
	if e := v.refused; e != nil {
		return &schema.ApplyResponse{ResultCode: int32(e.Code()), Reason: e.Error()}, nil
	}
	return &schema.ApplyResponse{Version: int64(v.offset) + 1}, nil
}

// putChange puts a change into the config stream and waits for its verdict.
func (d *Daemon) putChange(ctx context.Context, change *schema.Change) (confirmation, error) {
	r, err := d.propose(ctx, change)
	if err != nil {
		return confirmation{}, err
	}
	records := []*schema.Record{r}
	return d.putRecords(ctx, provider.StreamConfig, records, func(err error) {
		d.post(func(c *core) { c.replicator.Appended(records, err) })
	})
}

// propose gives the record that carries a change. A daemon that has just
// started waits until it may change the configuration.
func (d *Daemon) propose(ctx context.Context, change *schema.Change) (*schema.Record, error) {
	type proposal struct {
		record *schema.Record
		err    error
	}
	for end := d.now().Add(d.settings.Timing.Wait); ; {
		p, err := within(ctx, d, func(c *core) proposal {
			r, err := c.replicator.Propose(d.now(), change)
			return proposal{record: r, err: err}
		})
		if err != nil {
			return nil, err
		}
		if coder.Of(p.err) != coder.NotReady || d.now() > end || ctx.Err() != nil || !d.sleep(d.settings.Timing.Heartbeat) {
			return p.record, p.err
		}
	}
}

// put gives records their ids, appends them in one go and waits until the last
// was read back.
func (d *Daemon) put(ctx context.Context, stream string, records ...*schema.Record) (confirmation, error) {
	for _, r := range records {
		r.Id = d.id()
		r.AtMillis = int64(d.now())
		r.Daemon = d.settings.Name
	}
	return d.putRecords(ctx, stream, records, func(error) {})
}

// putRecords appends records and waits until the last was read back. An error
// of code LogDown means that nothing was added; NotAccepted, that it may have
// been.
func (d *Daemon) putRecords(ctx context.Context, stream string, records []*schema.Record, appended func(error)) (confirmation, error) {
	data, err := claimer.Encode(records)
	if err != nil {
		return confirmation{}, coder.New(coder.Internal, "Daemon.put: %v", err)
	}
	r := records[len(records)-1]
	back := make(chan confirmation, 1)
	if !d.post(func(c *core) { c.confirmations[r.GetId()] = func(v confirmation) { back <- v } }) {
		return confirmation{}, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
	defer d.post(func(c *core) { delete(c.confirmations, r.GetId()) })
	_, err = d.append(ctx, stream, data)
	appended(err)
	if err != nil && nothingAdded(err) {
		return confirmation{}, coder.New(coder.LogDown, "Daemon.put: nothing was added to the log: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.Wait.Duration())
	defer cancel()
	select {
	case v := <-back:
		return v, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return confirmation{}, coder.New(coder.NotAccepted, "Daemon.put: the log has not shown the record yet; it may still take effect")
}

const peerWaits = 6

func (d *Daemon) get(ctx context.Context, r *schema.GetRequest) (*schema.GetResponse, error) {
	if e := d.unable(); e != nil {
		return nil, e
	}
	states, err := within(ctx, d, func(c *core) map[string]string { return c.workStates() })
	if err != nil {
		return nil, err
	}
	out := &schema.GetResponse{}
	for _, i := range d.state.Load().Items(declarer.Kind(r.GetKind())) {
		if r.GetName() != "" && i.Key().Name() != r.GetName() {
			continue
		}
		out.Items = append(out.Items, &schema.Item{
			Kind: string(i.Key().Kind()), Name: i.Key().Name(), Version: i.Version(),
			Document: string(i.Document()), State: states[i.Key().Name()],
		})
	}
	if len(out.Items) == 0 && r.GetName() != "" {
		return nil, coder.New(coder.NotFound, "no %s %q is declared", r.GetKind(), r.GetName())
	}
	return out, nil
}

// drain takes a data centre or host out, or brings it back.
func (d *Daemon) drain(ctx context.Context, r *schema.DrainRequest) (*schema.DrainResponse, error) {
	if e := d.unable(); e != nil {
		return nil, e
	}
	name := declarer.DrainOfHost(r.GetName())
	if r.GetKind() == string(declarer.KindDataCentre) {
		name = declarer.DrainOfDataCentre(r.GetName())
	}
	have := d.state.Load().Get(declarer.KindDrain, name)
	if (have.Version() > 0) != r.GetRestore() {
		return d.drainViews(ctx, provider.Offset(d.state.Load().Next()-1))
	}
	item := &schema.ChangeItem{Kind: string(declarer.KindDrain), Name: name, ExpectedVersion: have.Version(), Delete: r.GetRestore()}
	if !r.GetRestore() {
		document, err := json.Marshal(declarer.Drain{Name: name})
		if err != nil {
			return nil, coder.New(coder.Internal, "Daemon.drain: %v", err)
		}
		item.Document = document
	}
	change := &schema.Change{Operator: r.GetOperator(), Items: []*schema.ChangeItem{item}}
	v, err := d.putChange(ctx, change)
	if err != nil {
		return nil, err
	}
	if e := v.refused; e != nil {
		return &schema.DrainResponse{ResultCode: int32(e.Code()), Reason: e.Error()}, nil
	}
	return d.awaitPeers(ctx, v.offset)
}

// awaitPeers waits a few heartbeats for the peers to have the change at an
// offset in force, and says which data centres have.
func (d *Daemon) awaitPeers(ctx context.Context, o provider.Offset) (*schema.DrainResponse, error) {
	for range peerWaits {
		r, err := d.drainViews(ctx, o)
		if err != nil || allConfirmed(r) || !d.sleep(d.settings.Timing.Heartbeat) {
			return r, err
		}
	}
	return d.drainViews(ctx, o)
}

func allConfirmed(r *schema.DrainResponse) bool {
	for _, v := range r.GetViews() {
		if !v.GetConfirmed() {
			return false
		}
	}
	return true
}

// drainViews says which data centres have the change at an offset in force:
// those whose every daemon has said so.
func (d *Daemon) drainViews(ctx context.Context, o provider.Offset) (*schema.DrainResponse, error) {
	members, err := within(ctx, d, func(c *core) []replicator.MemberProgress { return c.replicator.MemberProgress(d.now()) })
	if err != nil {
		return nil, err
	}
	behind := map[string]bool{}
	heard := map[string]bool{}
	for _, m := range members {
		heard[m.DataCentre()] = true
		behind[m.DataCentre()] = behind[m.DataCentre()] || !m.InForce(o)
	}
	out := &schema.DrainResponse{Version: int64(o) + 1}
	for _, dc := range d.state.Load().DataCentres() {
		out.Views = append(out.Views, &schema.DrainView{DataCentre: dc.Name, Confirmed: heard[dc.Name] && !behind[dc.Name]})
	}
	return out, nil
}
