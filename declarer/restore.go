package declarer

import (
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

// RestoreState returns the state that a message contains, which comes from a snapshot or
// from a peer. Errors have the code CorruptRecord.
func RestoreState(m *schema.ConfigState) (*State, error) {
	s := &State{next: m.GetNextOffset(), items: map[Key]Item{}}
	for _, i := range m.GetItems() {
		item, faults := ParseItem(Kind(i.GetKind()), i.GetName(), i.GetDocument(), i.GetName())
		if len(faults) > 0 {
			return nil, coder.New(coder.CorruptRecord, "declarer.RestoreState: %v", faults)
		}
		item.version = i.GetVersion()
		s.items[item.key] = item
	}
	return s, nil
}
