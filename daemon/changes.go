package daemon

import (
	"context"
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// apply puts a change into the log and waits until it was read back, which is
// when it is accepted or refused.
func (d *Daemon) apply(ctx context.Context, r *schema.ApplyRequest) (*schema.ApplyResponse, error) {
	if e := d.codeOfLeaving(); e != nil {
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
	v, err := d.put(ctx, provider.StreamConfig, &schema.Record{Body: &schema.Record_Change{Change: change}})
	if err != nil {
		return nil, err
	}
	if e := v.outcome.Err(); e != nil {
		return &schema.ApplyResponse{ResultCode: int32(e.Code()), Reason: e.Error()}, nil
	}
	return &schema.ApplyResponse{Version: int64(v.offset) + 1}, nil
}

// put appends a record and waits until it was read back. An error of code
// LogDown means that nothing was added; NotAccepted, that it may have been.
func (d *Daemon) put(ctx context.Context, stream string, r *schema.Record) (confirmation, error) {
	r.Id = d.id()
	r.AtMillis = int64(d.now())
	r.Daemon = d.settings.Name
	data, err := proto.Marshal(r)
	if err != nil {
		return confirmation{}, coder.New(coder.Internal, "Daemon.put: %v", err)
	}
	back := make(chan confirmation, 1)
	if !d.post(func(c *core) { c.confirmations[r.GetId()] = func(v confirmation) { back <- v } }) {
		return confirmation{}, coder.New(coder.ShuttingDown, "the daemon has stopped")
	}
	defer d.post(func(c *core) { delete(c.confirmations, r.GetId()) })
	if _, err := d.append(ctx, stream, [][]byte{data}); err != nil && nothingAdded(err) {
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

func (d *Daemon) get(ctx context.Context, r *schema.GetRequest) (*schema.GetResponse, error) {
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
	if e := d.codeOfLeaving(); e != nil {
		return nil, e
	}
	name := declarer.DrainOfHost(r.GetName())
	if r.GetKind() == string(declarer.KindDataCentre) {
		name = declarer.DrainOfDataCentre(r.GetName())
	}
	have := d.state.Load().Get(declarer.KindDrain, name)
	if (have.Version() > 0) != r.GetRestore() {
		return d.drainViews(d.state.Load().Next()), nil
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
	v, err := d.put(ctx, provider.StreamConfig, &schema.Record{Body: &schema.Record_Change{Change: change}})
	if err != nil {
		return nil, err
	}
	if e := v.outcome.Err(); e != nil {
		return &schema.DrainResponse{ResultCode: int32(e.Code()), Reason: e.Error()}, nil
	}
	d.awaitPeers(ctx, int64(v.offset)+1)
	return d.drainViews(int64(v.offset) + 1), nil
}

// awaitPeers waits a few heartbeats for the peers to have a version in force.
func (d *Daemon) awaitPeers(ctx context.Context, version int64) {
	for range peerWaits {
		if d.allConfirmed(d.drainViews(version)) || ctx.Err() != nil || !d.sleep(d.settings.Timing.Heartbeat) {
			return
		}
	}
}

const peerWaits = 6

func (d *Daemon) allConfirmed(r *schema.DrainResponse) bool {
	for _, v := range r.GetViews() {
		if !v.GetConfirmed() {
			return false
		}
	}
	return true
}

// drainViews says which data centres have a version in force: those whose every
// known daemon has said so.
func (d *Daemon) drainViews(version int64) *schema.DrainResponse {
	confirmed := map[string]bool{d.settings.DataCentre: d.state.Load().Next() >= version}
	for _, p := range d.peers {
		dc := p.settings.DataCentre
		was, known := confirmed[dc]
		has := p.last.Load().GetView().GetNextOffset() >= version
		confirmed[dc] = has && (was || !known)
	}
	out := &schema.DrainResponse{Version: version}
	for _, dc := range d.state.Load().DataCentres() {
		out.Views = append(out.Views, &schema.DrainView{DataCentre: dc.Name, Confirmed: confirmed[dc.Name]})
	}
	return out
}
