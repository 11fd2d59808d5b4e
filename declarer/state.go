package declarer

import (
	"cmp"
	"maps"
	"slices"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// State is the set of declarations in force. It is immutable: Apply returns a new
	// State, so readers need no lock.
	State struct {
		next  int64
		items map[Key]Item
	}

	// Outcome is the result of applying one change.
	Outcome struct {
		offset   int64
		err      *coder.Error
		previous []Item
	}
)

// NewState returns the empty state, before the first change.
func NewState() *State { return &State{items: map[Key]Item{}} }

// Next returns the first offset of the config stream that is not yet applied.
func (s *State) Next() int64 { return s.next }

// Len returns the number of declarations.
func (s *State) Len() int { return len(s.items) }

// Offset returns the log offset of the change.
func (o Outcome) Offset() int64 { return o.offset }

// Accepted reports whether the change was applied.
func (o Outcome) Accepted() bool { return o.err == nil }

// Err returns the first reason why the change was refused, or nil.
func (o Outcome) Err() *coder.Error { return o.err }

// Previous returns the declarations that the items of the change replace, in the order of
// the items. A declaration that didn't exist has version 0.
func (o Outcome) Previous() []Item { return o.previous }

// Apply returns the state after the change at an offset of the config stream. A change is
// applied atomically; a refused one only advances Next. Apply is deterministic: daemons
// that apply the same changes in order have the same state.
func (s *State) Apply(offset int64, c *schema.Change) (*State, Outcome) {
	o := Outcome{offset: offset}
	for _, i := range c.GetItems() {
		o.previous = append(o.previous, s.items[KeyOf(Kind(i.GetKind()), i.GetName())])
	}
	after, faults := s.withChange(offset, c)
	if len(faults) > 0 {
		o.err = faults[0]
		return s.Skip(offset), o
	}
	return after, o
}

// Skip returns the state after a record at an offset that has no change to declarations.
func (s *State) Skip(offset int64) *State {
	return &State{next: offset + 1, items: s.items}
}

// Check returns every error for which the change would be refused.
func (s *State) Check(c *schema.Change) coder.Errors {
	_, faults := s.withChange(s.next, c)
	return faults
}

// withChange returns a copy of the state with the change applied, and every error in the
// change.
func (s *State) withChange(offset int64, c *schema.Change) (*State, coder.Errors) {
	after := &State{next: offset + 1, items: maps.Clone(s.items)}
	var faults coder.Errors
	seen := map[Key]bool{}
	for _, i := range c.GetItems() {
		k := KeyOf(Kind(i.GetKind()), i.GetName())
		if seen[k] {
			faults = append(faults, coder.At(coder.Duplicate, k.String(), "appears twice in the change"))
		}
		seen[k] = true
		faults = append(faults, after.applyItem(offset, k, i)...)
	}
	if len(faults) == 0 {
		faults = after.checkReferences()
	}
	return after, faults
}

// applyItem sets or deletes one declaration in s, if its version is the expected one.
func (s *State) applyItem(offset int64, k Key, c *schema.ChangeItem) coder.Errors {
	current := s.items[k].version
	if c.GetExpectedVersion() != current {
		return coder.Errors{coder.At(coder.StaleVersion, k.String(), "the change expects version %d, but the current version is %d: plan again", c.GetExpectedVersion(), current)}
	}
	if c.GetDelete() {
		return s.remove(k)
	}
	item, faults := ParseItem(k.kind, k.name, c.GetDocument(), k.String())
	if len(faults) > 0 {
		return faults
	}
	if faults := checkImmutableFields(s.items[k], item); len(faults) > 0 {
		return faults
	}
	item.version = offset + 1
	s.items[k] = item
	return nil
}

// checkImmutableFields returns an error if the declaration changes a field that can't
// change once declared.
func checkImmutableFields(before, after Item) coder.Errors {
	b, had := before.value.(DataCentre)
	a, has := after.value.(DataCentre)
	if had && has && a.Shards != b.Shards {
		return coder.Errors{coder.At(coder.InUse, after.key.String()+".shards", "can't change from %d to %d, since work is assigned to the shards", b.Shards, a.Shards)}
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

// Get returns a declaration. Its version is 0 if it isn't declared.
func (s *State) Get(k Kind, name string) Item { return s.items[KeyOf(k, name)] }

// Items returns the declarations of a kind, or of all kinds for "", sorted by kind and
// name.
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

// Service returns a service by name, and whether it is declared.
func (s *State) Service(name string) (Service, bool) { return get[Service](s, KindService, name) }

// BatchJob returns a batch job by name, and whether it is declared.
func (s *State) BatchJob(name string) (BatchJob, bool) { return get[BatchJob](s, KindBatchJob, name) }

// WatchJob returns a watch job by name, and whether it is declared.
func (s *State) WatchJob(name string) (WatchJob, bool) { return get[WatchJob](s, KindWatchJob, name) }

// Team returns a team by name, and whether it is declared.
func (s *State) Team(name string) (Team, bool) { return get[Team](s, KindTeam, name) }

// Operator returns the operator, and whether one is declared.
func (s *State) Operator() (Operator, bool) {
	for _, o := range list[Operator](s, KindOperator) {
		return o, true
	}
	return Operator{}, false
}

// Services returns the services, sorted by name.
func (s *State) Services() []Service { return list[Service](s, KindService) }

// BatchJobs returns the batch jobs, sorted by name.
func (s *State) BatchJobs() []BatchJob { return list[BatchJob](s, KindBatchJob) }

// WatchJobs returns the watch jobs, sorted by name.
func (s *State) WatchJobs() []WatchJob { return list[WatchJob](s, KindWatchJob) }

// Teams returns the teams, sorted by name.
func (s *State) Teams() []Team { return list[Team](s, KindTeam) }

// DataCentres returns the data centres, sorted by name.
func (s *State) DataCentres() []DataCentre { return list[DataCentre](s, KindDataCentre) }

// Prices returns the prices, sorted by data centre, resource and first day.
func (s *State) Prices() []Price { return list[Price](s, KindPrice) }

// DataCentreDrained reports whether a data centre is drained.
func (s *State) DataCentreDrained(name string) bool {
	return s.Get(KindDrain, DrainOfDataCentre(name)).version > 0
}

// HostDrained reports whether a host is drained.
func (s *State) HostDrained(name string) bool {
	return s.Get(KindDrain, DrainOfHost(name)).version > 0
}

// get returns the declaration of a kind and name as a T, and whether it is declared.
func get[T any](s *State, k Kind, name string) (T, bool) {
	v, ok := s.items[KeyOf(k, name)].value.(T)
	return v, ok
}

// list returns the declarations of a kind, whose type is T, sorted by name.
func list[T any](s *State, k Kind) []T {
	items := s.Items(k)
	values := make([]T, 0, len(items))
	for _, i := range items {
		values = append(values, i.value.(T))
	}
	return values
}
