package declarer

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// State is every declaration that is in force. It never changes; Apply
	// gives a new one, so readers need no lock.
	State struct {
		next  int64
		items map[Key]Item
	}

	// Outcome is what became of one change.
	Outcome struct {
		offset  int64
		err     *coder.Error
		befores []Item
	}
)

// NewState gives the state before the first change.
func NewState() *State { return &State{items: map[Key]Item{}} }

// Next gives the first offset of the config stream that is not yet applied.
func (s *State) Next() int64 { return s.next }

// Len gives the number of declarations.
func (s *State) Len() int { return len(s.items) }

// Offset gives the log offset of the change.
func (o Outcome) Offset() int64 { return o.offset }

// Accepted tells whether the change is in force.
func (o Outcome) Accepted() bool { return o.err == nil }

// Err gives why the change was refused, or nil.
func (o Outcome) Err() *coder.Error { return o.err }

// Befores gives what each item of the change stood at before, in order.
func (o Outcome) Befores() []Item { return o.befores }

// Apply gives the state after the change at an offset of the config stream. A
// change is applied whole or not at all; a refused one only moves Next. Every
// daemon that applies the same changes in order has the same state.
func (s *State) Apply(offset int64, c *schema.Change) (*State, Outcome) {
	o := Outcome{offset: offset}
	for _, i := range c.GetItems() {
		o.befores = append(o.befores, s.items[KeyOf(Kind(i.GetKind()), i.GetName())])
	}
	after, faults := s.changed(offset, c)
	if len(faults) > 0 {
		o.err = faults[0]
		return s.Skip(offset), o
	}
	return after, o
}

// Skip gives the state after a record at an offset that changes nothing.
func (s *State) Skip(offset int64) *State {
	return &State{next: offset + 1, items: s.items}
}

// Check gives every fault for which the change would be refused.
func (s *State) Check(c *schema.Change) coder.Errors {
	_, faults := s.changed(s.next, c)
	return faults
}

func (s *State) changed(offset int64, c *schema.Change) (*State, coder.Errors) {
	after := &State{next: offset + 1, items: maps.Clone(s.items)}
	var faults coder.Errors
	seen := map[Key]bool{}
	for _, i := range c.GetItems() {
		k := KeyOf(Kind(i.GetKind()), i.GetName())
		if seen[k] {
			faults = append(faults, coder.At(coder.Duplicate, k.String(), "the change names it twice"))
		}
		seen[k] = true
		faults = append(faults, after.set(offset, k, i)...)
	}
	if len(faults) == 0 {
		faults = after.references()
	}
	return after, faults
}

func (s *State) set(offset int64, k Key, c *schema.ChangeItem) coder.Errors {
	have := s.items[k].version
	if c.GetExpectedVersion() != have {
		return coder.Errors{coder.At(coder.StaleVersion, k.String(), "the change expects version %d, but it is at %d: plan again", c.GetExpectedVersion(), have)}
	}
	if c.GetDelete() {
		return s.remove(k)
	}
	item, faults := ParseItem(k.kind, k.name, c.GetDocument(), k.String())
	if len(faults) > 0 {
		return faults
	}
	if faults := fixedFields(s.items[k], item); len(faults) > 0 {
		return faults
	}
	item.version = offset + 1
	s.items[k] = item
	return nil
}

// fixedFields gives a fault for every field that may not change.
func fixedFields(before, after Item) coder.Errors {
	b, had := before.value.(DataCentre)
	a, has := after.value.(DataCentre)
	if had && has && a.Shards != b.Shards {
		return coder.Errors{coder.At(coder.InUse, after.key.String()+".shards", "can't change from %d to %d, since work has its home in the shards", b.Shards, a.Shards)}
	}
	return nil
}

func (s *State) remove(k Key) coder.Errors {
	if _, known := s.items[k]; !known {
		return coder.Errors{coder.At(coder.NotFound, k.String(), "is not declared")}
	}
	delete(s.items, k)
	return nil
}

// Get gives one declaration; its version is 0 where it isn't declared.
func (s *State) Get(k Kind, name string) Item { return s.items[KeyOf(k, name)] }

// Items gives every declaration of a kind, or of all for "", by kind and name.
func (s *State) Items(k Kind) []Item {
	items := make([]Item, 0, len(s.items))
	for key, i := range s.items {
		if k == "" || key.kind == k {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.key.kind, b.key.kind), cmp.Compare(a.key.name, b.key.name))
	})
	return items
}

// Service gives a service by name.
func (s *State) Service(name string) (Service, bool) { return get[Service](s, KindService, name) }

// BatchJob gives a batch job by name.
func (s *State) BatchJob(name string) (BatchJob, bool) { return get[BatchJob](s, KindBatchJob, name) }

// WatchJob gives a watch job by name.
func (s *State) WatchJob(name string) (WatchJob, bool) { return get[WatchJob](s, KindWatchJob, name) }

// Team gives a team by name.
func (s *State) Team(name string) (Team, bool) { return get[Team](s, KindTeam, name) }

// Operator gives the operator, of which there is at most one.
func (s *State) Operator() (Operator, bool) {
	for _, o := range all[Operator](s, KindOperator) {
		return o, true
	}
	return Operator{}, false
}

// Services gives every service by name.
func (s *State) Services() []Service { return all[Service](s, KindService) }

// BatchJobs gives every batch job by name.
func (s *State) BatchJobs() []BatchJob { return all[BatchJob](s, KindBatchJob) }

// WatchJobs gives every watch job by name.
func (s *State) WatchJobs() []WatchJob { return all[WatchJob](s, KindWatchJob) }

// Teams gives every team by name.
func (s *State) Teams() []Team { return all[Team](s, KindTeam) }

// DataCentres gives every data centre by name.
func (s *State) DataCentres() []DataCentre { return all[DataCentre](s, KindDataCentre) }

// Prices gives every price by data centre, resource and from-date.
func (s *State) Prices() []Price { return all[Price](s, KindPrice) }

// DataCentreDrained tells whether a data centre is taken out.
func (s *State) DataCentreDrained(name string) bool {
	return s.Get(KindDrain, DrainOfDataCentre(name)).version > 0
}

// HostDrained tells whether a host is taken out.
func (s *State) HostDrained(name string) bool {
	return s.Get(KindDrain, DrainOfHost(name)).version > 0
}

func get[T any](s *State, k Kind, name string) (T, bool) {
	v, ok := s.items[KeyOf(k, name)].value.(T)
	return v, ok
}

func all[T any](s *State, k Kind) []T {
	items := s.Items(k)
	values := make([]T, 0, len(items))
	for _, i := range items {
		values = append(values, i.value.(T))
	}
	return values
}
