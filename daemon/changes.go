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

// apply writes a change to the log and waits until it is read back, which decides whether
// it is accepted or refused.
func (d *Daemon) apply(ctx context.Context, r *schema.ApplyRequest) (*schema.ApplyResponse, error) {
	if e := d.notServing(); e != nil {
		return nil, e
	}
	for _, i := range r.GetItems() {
		if declarer.Kind(i.GetKind()) == declarer.KindDrain {
			return nil, coder.New(coder.BadFormat, "Daemon.apply: drains can only be changed by drain and restore")
		}
	}
	change := &schema.Change{Operator: r.GetOperator(), Items: r.GetItems()}
	if faults := d.state.Load().Check(change); len(faults) > 0 && coder.Of(faults) != coder.StaleVersion {
		return nil, faults
	}
	if faults := declarer.CheckPastPrices(d.state.Load(), change, d.now()); len(faults) > 0 {
		return nil, faults
	}
	v, err := d.writeChange(ctx, change)
	if err != nil {
		return nil, err
	}
	if e := v.refusal; e != nil {
		return &schema.ApplyResponse{ResultCode: int32(e.Code()), Reason: e.Error()}, nil
	}
	return &schema.ApplyResponse{Version: int64(v.offset) + 1}, nil
}

// writeChange writes a change to the config stream and waits until it is accepted or
// refused.
func (d *Daemon) writeChange(ctx context.Context, change *schema.Change) (confirmation, error) {
	r, err := d.propose(ctx, change)
	if err != nil {
		return confirmation{}, err
	}
	records := []*schema.Record{r}
	return d.writeRecords(ctx, provider.StreamConfig, records, func(err error) {
		d.post(func(c *core) { c.replicator.Appended(records, err) })
	})
}

// propose returns the record that carries a change. While the daemon is not a member yet,
// which is so just after its start, it retries for at most the wait of the settings.
func (d *Daemon) propose(ctx context.Context, change *schema.Change) (*schema.Record, error) {
	type proposal struct {
		record *schema.Record
		err    error
	}
	for end := d.now().Add(d.settings.Timing.Wait); ; {
		p, err := queryCore(ctx, d, func(c *core) proposal {
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

// writeNew sets the ids, times and daemon of records and writes them.
func (d *Daemon) writeNew(ctx context.Context, stream string, records ...*schema.Record) (confirmation, error) {
	for _, r := range records {
		r.Id = d.newRecordID()
		r.AtMillis = int64(d.now())
		r.Daemon = d.settings.Name
	}
	return d.writeRecords(ctx, stream, records, func(error) {})
}

// writeRecords appends records in one append and waits until the last was read back. An
// error of code LogDown means that nothing was appended; after an error of code
// NotAccepted the records may have been appended.
func (d *Daemon) writeRecords(ctx context.Context, stream string, records []*schema.Record, appended func(error)) (confirmation, error) {
	data, err := claimer.Encode(records)
	if err != nil {
		return confirmation{}, coder.New(coder.Internal, "Daemon.writeRecords: %v", err)
	}
	r := records[len(records)-1]
	confirmed := make(chan confirmation, 1)
	if !d.post(func(c *core) { c.confirmations[r.GetId()] = func(v confirmation) { confirmed <- v } }) {
		return confirmation{}, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
	defer d.post(func(c *core) { delete(c.confirmations, r.GetId()) })
	_, err = d.append(ctx, stream, data)
	appended(err)
	if err != nil && appendedNothing(err) {
		return confirmation{}, coder.New(coder.LogDown, "Daemon.writeRecords: nothing was appended to the log: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timing.Wait.Duration())
	defer cancel()
	select {
	case v := <-confirmed:
		return v, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return confirmation{}, coder.New(coder.NotAccepted, "Daemon.writeRecords: the record was not read back from the log in time; it may still take effect")
}

const peerPolls = 6

func (d *Daemon) get(ctx context.Context, r *schema.GetRequest) (*schema.GetResponse, error) {
	if e := d.notServing(); e != nil {
		return nil, e
	}
	states, err := queryCore(ctx, d, func(c *core) map[string]string { return c.workStates() })
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

// drain drains a data centre or host, or restores it.
func (d *Daemon) drain(ctx context.Context, r *schema.DrainRequest) (*schema.DrainResponse, error) {
	if e := d.notServing(); e != nil {
		return nil, e
	}
	name := declarer.DrainOfHost(r.GetName())
	if r.GetKind() == string(declarer.KindDataCentre) {
		name = declarer.DrainOfDataCentre(r.GetName())
	}
	current := d.state.Load().Get(declarer.KindDrain, name)
	if (current.Version() > 0) != r.GetRestore() {
		return d.drainViews(ctx, provider.Offset(d.state.Load().Next()-1))
	}
	item := &schema.ChangeItem{Kind: string(declarer.KindDrain), Name: name, ExpectedVersion: current.Version(), Delete: r.GetRestore()}
	if !r.GetRestore() {
		document, err := json.Marshal(declarer.Drain{Name: name})
		if err != nil {
			return nil, coder.New(coder.Internal, "Daemon.drain: %v", err)
		}
		item.Document = document
	}
	change := &schema.Change{Operator: r.GetOperator(), Items: []*schema.ChangeItem{item}}
	v, err := d.writeChange(ctx, change)
	if err != nil {
		return nil, err
	}
	if e := v.refusal; e != nil {
		return &schema.DrainResponse{ResultCode: int32(e.Code()), Reason: e.Error()}, nil
	}
	return d.awaitPeers(ctx, v.offset)
}

// awaitPeers waits a few heartbeats for all daemons to apply the change at an offset, and
// returns which data centres have.
func (d *Daemon) awaitPeers(ctx context.Context, o provider.Offset) (*schema.DrainResponse, error) {
	for range peerPolls {
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

// drainViews returns which data centres have applied the change at an offset. A data centre
// has if each of its member daemons has reported so.
func (d *Daemon) drainViews(ctx context.Context, o provider.Offset) (*schema.DrainResponse, error) {
	members, err := queryCore(ctx, d, func(c *core) []replicator.MemberProgress { return c.replicator.MemberProgress(d.now()) })
	if err != nil {
		return nil, err
	}
	behind := map[string]bool{}
	reported := map[string]bool{}
	for _, m := range members {
		reported[m.DataCentre()] = true
		behind[m.DataCentre()] = behind[m.DataCentre()] || !m.InForce(o)
	}
	out := &schema.DrainResponse{Version: int64(o) + 1}
	for _, dc := range d.state.Load().DataCentres() {
		out.Views = append(out.Views, &schema.DrainView{DataCentre: dc.Name, Confirmed: reported[dc.Name] && !behind[dc.Name]})
	}
	return out, nil
}
