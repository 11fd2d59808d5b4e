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
	// replica is the immutable state after a prefix of the config stream; apply returns a
	// new one.
	replica struct {
		state *declarer.State
		// members maps the processes that may change the configuration to their data
		// centres.
		members map[string]string
		digest  uint64
	}
)

func newReplica() *replica {
	return &replica{state: declarer.NewState(), members: map[string]string{}}
}

func (r *replica) next() provider.Offset { return provider.Offset(r.state.Next()) }

// apply returns the replica after the record at the next offset and, if the record
// carries a change, its result. A record that can't be decoded is skipped.
func (r *replica) apply(data []byte) (*replica, *Result) {
	offset := r.state.Next()
	after := &replica{state: r.state.Skip(offset), members: r.members, digest: chainDigest(r.digest, data)}
	record := &schema.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		return after, nil
	}
	switch b := record.GetBody().(type) {
	case *schema.Record_Membership:
		after.members = applyMembership(r.members, b.Membership)
	case *schema.Record_Change:
		var o declarer.Outcome
		var refused *coder.Error
		if _, member := r.members[b.Change.GetProcess()]; member {
			after.state, o = r.state.Apply(offset, b.Change)
			refused = o.Err()
		} else {
			refused = coder.New(coder.NotAccepted, "replicator: %q was not a member when its change reached the log", b.Change.GetProcess())
		}
		return after, &Result{record: record, offset: provider.Offset(offset), outcome: o, err: refused}
	}
	return after, nil
}

func applyMembership(members map[string]string, m *schema.Membership) map[string]string {
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

// chainDigest returns the digest of all records up to and including data, from the digest
// of those before it.
func chainDigest(digest uint64, data []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, digest))
	_, _ = d.Write(data)
	return d.Sum64()
}

// toMessage returns the replica in the form in which snapshots and responses to peers
// carry it.
func (r *replica) toMessage() *schema.ConfigState {
	m := &schema.ConfigState{NextOffset: r.state.Next(), Digest: r.digest}
	for _, i := range r.state.Items("") {
		m.Items = append(m.Items, &schema.ConfigItem{Kind: string(i.Key().Kind()), Name: i.Key().Name(), Version: i.Version(), Document: i.Document()})
	}
	for _, p := range slices.Sorted(maps.Keys(r.members)) {
		m.Members = append(m.Members, &schema.Member{Process: p, DataCentre: r.members[p]})
	}
	return m
}

// replicaFromMessage is the reverse of toMessage.
func replicaFromMessage(m *schema.ConfigState) (*replica, error) {
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
