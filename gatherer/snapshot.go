package gatherer

import (
	"galenawharf.example/galenawharf/provider"
)

type (
	// Snapshot is the hosts at one time, by name. It never changes.
	Snapshot struct {
		members []Member
		byName  map[string]Member
	}
)

func newSnapshot(members []Member) *Snapshot {
	s := &Snapshot{members: members, byName: make(map[string]Member, len(members))}
	for _, m := range members {
		s.byName[m.host.Name] = m
	}
	return s
}

// Member gives a host by name.
func (s *Snapshot) Member(name string) (Member, bool) {
	m, known := s.byName[name]
	return m, known
}

// Members gives the hosts of a role, in order of their names.
func (s *Snapshot) Members(r provider.Role) []Member {
	var members []Member
	for _, m := range s.members {
		if m.host.Role == r {
			members = append(members, m)
		}
	}
	return members
}

// Workers gives the workers of a data centre.
func (s *Snapshot) Workers(dataCentre string) []Member {
	var members []Member
	for _, m := range s.members {
		if m.host.Role == provider.RoleWorker && m.host.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	return members
}

// Executors gives the executors of a service that may get requests.
func (s *Snapshot) Executors(service string) []Member {
	var members []Member
	for _, m := range s.members {
		if m.host.Role == provider.RoleExecutor && m.host.Service == service && m.Open() {
			members = append(members, m)
		}
	}
	return members
}

// Daemons gives the entry hosts.
func (s *Snapshot) Daemons() []Member { return s.Members(provider.RoleEntry) }
