package declarer

import (
	"strings"

	"galenawharf.example/galenawharf/coder"
)

// checkReferences returns the errors between declarations: references to something that
// isn't declared, names that services and jobs share, and more than one operator.
func (s *State) checkReferences() coder.Errors {
	var faults coder.Errors
	workNames := map[string]Key{}
	for _, i := range s.Items("") {
		faults = append(faults, s.checkItemReferences(i)...)
		faults = append(faults, checkUniqueName(workNames, i.key)...)
	}
	if n := len(s.Items(KindOperator)); n > 1 {
		faults = append(faults, coder.At(coder.Duplicate, string(KindOperator), "there are %d operators, but a deployment has one", n))
	}
	return faults
}

func (s *State) checkItemReferences(i Item) coder.Errors {
	switch d := i.value.(type) {
	case Service:
		return s.checkReference(i.key, KindTeam, d.Team)
	case BatchJob:
		return s.checkReference(i.key, KindTeam, d.Team)
	case WatchJob:
		return s.checkReference(i.key, KindTeam, d.Team)
	case Price:
		return s.checkReference(i.key, KindDataCentre, d.DataCentre)
	case Drain:
		if dc, found := strings.CutPrefix(d.Name, drainDataCentre); found {
			return s.checkReference(i.key, KindDataCentre, dc)
		}
	}
	return nil
}

func (s *State) checkReference(from Key, k Kind, name string) coder.Errors {
	if s.items[KeyOf(k, name)].version > 0 {
		return nil
	}
	return coder.Errors{coder.At(coder.UnknownName, from.String(), "refers to %s %q, which is not declared", k, name)}
}

// checkUniqueName returns an error if a service or job has the name of another one. Bills
// and submissions refer to them by name without the kind, so names must be unique across
// the kinds.
func checkUniqueName(seen map[string]Key, k Key) coder.Errors {
	switch k.kind {
	case KindService, KindBatchJob, KindWatchJob:
	default:
		return nil
	}
	if other, exists := seen[k.name]; exists {
		return coder.Errors{coder.At(coder.Duplicate, k.String(), "has the same name as %s", other)}
	}
	seen[k.name] = k
	return nil
}
