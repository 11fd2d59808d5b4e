package declarer

import (
	"strings"

	"galenawharf.example/galenawharf/coder"
)

// references gives every name that refers to nothing, and every other fault
// that only the declarations together can have.
func (s *State) references() coder.Errors {
	var faults coder.Errors
	work := map[string]Key{}
	for _, i := range s.Items("") {
		faults = append(faults, s.itemReferences(i)...)
		faults = append(faults, sharedName(work, i.key)...)
	}
	if n := len(s.Items(KindOperator)); n > 1 {
		faults = append(faults, coder.At(coder.Duplicate, string(KindOperator), "there are %d operators, but a deployment has one", n))
	}
	return faults
}

func (s *State) itemReferences(i Item) coder.Errors {
	switch d := i.value.(type) {
	case Service:
		return s.refers(i.key, KindTeam, d.Team)
	case BatchJob:
		return s.refers(i.key, KindTeam, d.Team)
	case WatchJob:
		return s.refers(i.key, KindTeam, d.Team)
	case Price:
		return s.refers(i.key, KindDataCentre, d.DataCentre)
	case Drain:
		if dc, found := strings.CutPrefix(d.Name, drainDataCentre); found {
			return s.refers(i.key, KindDataCentre, dc)
		}
	}
	return nil
}

func (s *State) refers(from Key, k Kind, name string) coder.Errors {
	if s.items[KeyOf(k, name)].version > 0 {
		return nil
	}
	return coder.Errors{coder.At(coder.UnknownName, from.String(), "refers to %s %q, which is not declared", k, name)}
}

// sharedName keeps the names of services and jobs distinct, since bills and
// submissions name them without their kind.
func sharedName(seen map[string]Key, k Key) coder.Errors {
	switch k.kind {
	case KindService, KindBatchJob, KindWatchJob:
	default:
		return nil
	}
	if other, twice := seen[k.name]; twice {
		return coder.Errors{coder.At(coder.Duplicate, k.String(), "has the name of %s", other)}
	}
	seen[k.name] = k
	return nil
}
