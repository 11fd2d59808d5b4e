package gatherer

import "galenawharf.example/galenawharf/provider"

type (
	// Change is what changed for the host of an Event.
	Change string

	// Event is a change in the state of one host.
	Event struct {
		change Change
		host   provider.Host
	}
)

// Changes of a host. The first four mean that it moved to another Phase.
const (
	ChangeAlive     Change = "alive"
	ChangeSuspected Change = "suspected"
	ChangeDied      Change = "died"
	ChangeGone      Change = "gone"
	// ChangeRestarted means that a host answered with another incarnation: its process or
	// machine was restarted.
	ChangeRestarted Change = "restarted"
	// ChangeLeaving means that a host is leaving and gets no new work.
	ChangeLeaving Change = "leaving"
	// ChangeReturned means that no source reports the host as leaving any more.
	ChangeReturned Change = "returned"
)

// Change returns what changed.
func (e Event) Change() Change { return e.change }

// Host returns the name, role, location and capacity of the host, as last known.
func (e Event) Host() provider.Host { return e.host }
