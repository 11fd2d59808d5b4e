package checker

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// config: an accepted configuration is in force within seconds at every
	// daemon that can be reached, and none goes back.
	config struct {
		bound    clock.Millis
		accepted []acceptance
		daemons  map[string]*follower
	}

	acceptance struct {
		at      clock.Millis
		version int64
	}

	// follower is a daemon and the version that it goes by.
	follower struct {
		since   clock.Millis
		version int64
		cutOff  bool
		late    map[int64]bool
	}
)

func newConfig(bound clock.Millis) *config {
	return &config{bound: bound, daemons: map[string]*follower{}}
}

func (c *config) see(e Event) []Violation {
	found := c.overdue(e.at)
	switch e.kind {
	case daemonStarted:
		c.daemons[e.daemon] = &follower{since: e.at, version: -1, late: map[int64]bool{}}
	case daemonKilled, daemonStopped:
		delete(c.daemons, e.daemon)
	case configAccepted:
		c.accepted = append(c.accepted, acceptance{at: e.at, version: e.version})
	case configCutOff, configJoined:
		if f := c.daemons[e.daemon]; f != nil {
			f.cutOff = e.kind == configCutOff
			f.since = e.at
		}
	case configInForce:
		found = append(found, c.inForce(e)...)
	}
	return found
}

func (c *config) inForce(e Event) []Violation {
	f := c.daemons[e.daemon]
	if f == nil {
		return nil
	}
	if e.version < f.version {
		return broken("config", e, "%s went back from version %d to %d", e.daemon, f.version, e.version)
	}
	f.version = e.version
	return nil
}

// overdue finds daemons that don't go by what was accepted long enough ago.
func (c *config) overdue(now clock.Millis) []Violation {
	var found []Violation
	for _, name := range slices.Sorted(maps.Keys(c.daemons)) {
		f := c.daemons[name]
		for _, a := range c.accepted {
			if f.cutOff || f.version >= a.version || f.late[a.version] || now <= max(a.at, f.since)+c.bound {
				continue
			}
			f.late[a.version] = true
			found = append(found, broken("config", Event{at: now}, "%s is at version %d, but %d was accepted at %d", name, f.version, a.version, a.at)...)
		}
	}
	return found
}

func (c *config) end(now clock.Millis) []Violation { return c.overdue(now) }
