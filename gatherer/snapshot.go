package gatherer

import (
	"galenawharf.example/galenawharf/provider"
)

type (
	// Snapshot holds the state of all hosts at one Step. It is immutable.
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

// Member returns the host with the given name, and reports whether it is known.
func (s *Snapshot) Member(name string) (Member, bool) {
	m, known := s.byName[name]
	return m, known
}

// Members returns the hosts of a role, ordered by name.
func (s *Snapshot) Members(r provider.Role) []Member {
	var members []Member
	for _, m := range s.members {
		if m.host.Role == r {
			members = append(members, m)
		}
	}
	return members
}

// Workers returns the workers of a data centre, ordered by name.
func (s *Snapshot) Workers(dataCentre string) []Member {
	var members []Member
	for _, m := range s.members {
		if m.host.Role == provider.RoleWorker && m.host.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	return members
}

// Executors returns the executors of a service that accept work, ordered by name.
func (s *Snapshot) Executors(service string) []Member {
	var members []Member
	for _, m := range s.members {
		if m.host.Role == provider.RoleExecutor && m.host.Service == service && m.AcceptsWork() {
			members = append(members, m)
		}
	}
	return members
}

// Daemons returns the entry hosts, on each of which a daemon runs.
func (s *Snapshot) Daemons() []Member { return s.Members(provider.RoleEntry) }
