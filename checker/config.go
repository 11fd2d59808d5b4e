package checker

import (
	"maps"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// configRule reports reachable daemons that don't apply an accepted
	// configuration within the bound, and daemons that revert to an older version.
	configRule struct {
		bound    clock.Millis
		accepted []acceptance
		daemons  map[string]*daemonConfig
	}

	acceptance struct {
		at      clock.Millis
		version int64
	}

	// daemonConfig is a running daemon's configuration version. since is when it
	// started, or was last cut off or reconnected.
	daemonConfig struct {
		since    clock.Millis
		version  int64
		cutOff   bool
		reported map[int64]bool
	}
)

func newConfigRule(bound clock.Millis) *configRule {
	return &configRule{bound: bound, daemons: map[string]*daemonConfig{}}
}

func (c *configRule) observe(e Event) []Violation {
	found := c.overdue(e.at)
	switch e.kind {
	case daemonStarted:
		c.daemons[e.daemon] = &daemonConfig{since: e.at, version: -1, reported: map[int64]bool{}}
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

func (c *configRule) inForce(e Event) []Violation {
	f := c.daemons[e.daemon]
	if f == nil {
		return nil
	}
	if e.version < f.version {
		return newViolation("config", e, "%s reverted from version %d to %d", e.daemon, f.version, e.version)
	}
	f.version = e.version
	return nil
}

// overdue returns a violation for each daemon that has not applied a version within
// the bound of its acceptance. Each daemon and version is reported once.
func (c *configRule) overdue(now clock.Millis) []Violation {
	var found []Violation
	for _, name := range slices.Sorted(maps.Keys(c.daemons)) {
		f := c.daemons[name]
		for _, a := range c.accepted {
			if f.cutOff || f.version >= a.version || f.reported[a.version] || now <= max(a.at, f.since)+c.bound {
				continue
			}
			f.reported[a.version] = true
			found = append(found, newViolation("config", Event{at: now}, "%s uses version %d, but version %d was accepted at %d", name, f.version, a.version, a.at)...)
		}
	}
	return found
}

func (c *configRule) finish(now clock.Millis) []Violation { return c.overdue(now) }
