package gatherer

import "galenawharf.example/galenawharf/provider"

type (
	// Change is what happened to a host.
	Change string

	// Event is a change of one host.
	Event struct {
		change Change
		host   provider.Host
	}
)

// What happens to hosts.
const (
	ChangeAlive     Change = "alive"
	ChangeSuspected Change = "suspected"
	ChangeDied      Change = "died"
	ChangeGone      Change = "gone"
	// ChangeRestarted is a host that came back as another process or boot.
	ChangeRestarted Change = "restarted"
	// ChangeLeaving is a host that gets no new work any more.
	ChangeLeaving Change = "leaving"
	// ChangeReturned is a host that no source calls leaving any more.
	ChangeReturned Change = "returned"
)

// Change gives what happened.
func (e Event) Change() Change { return e.change }

// Host gives the host, as last known.
func (e Event) Host() provider.Host { return e.host }
