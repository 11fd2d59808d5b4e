package replicator

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// replica is what the records of the config stream add up to. It never
	// changes; apply gives a new one.
	replica struct {
		state *declarer.State
		// members are the processes that may change the configuration, with
		// their data centres.
		members map[string]string
		digest  uint64
	}
)

func newReplica() *replica {
	return &replica{state: declarer.NewState(), members: map[string]string{}}
}

func (r *replica) next() provider.Offset { return provider.Offset(r.state.Next()) }

// apply gives the replica after the record at the next offset, and what became
// of the change that it carries, if it does.
func (r *replica) apply(data []byte) (*replica, *Result) {
	offset := r.state.Next()
	after := &replica{state: r.state.Skip(offset), members: r.members, digest: running(r.digest, data)}
	record := &schema.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		return after, nil
	}
	switch b := record.GetBody().(type) {
	case *schema.Record_Membership:
		after.members = changed(r.members, b.Membership)
	case *schema.Record_Change:
		var o declarer.Outcome
		var refused *coder.Error
		if _, member := r.members[b.Change.GetProcess()]; member {
			after.state, o = r.state.Apply(offset, b.Change)
			refused = o.Err()
		} else {
			refused = coder.New(coder.NotAccepted, "replicator: %q was no member when its change reached the log", b.Change.GetProcess())
		}
		return after, &Result{record: record, offset: provider.Offset(offset), outcome: o, err: refused}
	}
	return after, nil
}

func changed(members map[string]string, m *schema.Membership) map[string]string {
	if m.GetOnlyFirst() && len(members) > 0 {
		return members
	}
	after := maps.Clone(members)
	for _, p := range m.GetDrop() {
		delete(after, p)
	}
	for _, a := range m.GetAdd() {
		after[a.GetProcess()] = a.GetDataCentre()
	}
	return after
}

// running gives the digest of the records up to and with data.
func running(digest uint64, data []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, digest))
	_, _ = d.Write(data)
	return d.Sum64()
}

// message gives the replica as snapshots and daemons pass it on.
func (r *replica) message() *schema.ConfigState {
	m := &schema.ConfigState{NextOffset: r.state.Next(), Digest: r.digest}
	for _, i := range r.state.Items("") {
		m.Items = append(m.Items, &schema.ConfigItem{Kind: string(i.Key().Kind()), Name: i.Key().Name(), Version: i.Version(), Document: i.Document()})
	}
	for _, p := range slices.Sorted(maps.Keys(r.members)) {
		m.Members = append(m.Members, &schema.Member{Process: p, DataCentre: r.members[p]})
	}
	return m
}

// replicaOf is the reverse of message.
func replicaOf(m *schema.ConfigState) (*replica, error) {
	s, err := declarer.RestoreState(m)
	if err != nil {
		return nil, err
	}
	r := &replica{state: s, members: map[string]string{}, digest: m.GetDigest()}
	for _, p := range m.GetMembers() {
		r.members[p.GetProcess()] = p.GetDataCentre()
	}
	return r, nil
}
