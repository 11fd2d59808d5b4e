package replicator

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Peer is another daemon's process as the platform's list, the settings
	// and its heartbeats show it.
	Peer struct {
		// Process is the daemon and its incarnation.
		Process    string
		DataCentre string
		// Dead is a process that has not been heard for so long that it is
		// dropped from the members.
		Dead bool
	}

	// heard is what a peer last said.
	heard struct {
		dataCentre string
		next       provider.Offset
		at         clock.Millis
		// quietAt is a time at which it had added nothing that the daemon lacks.
		quietAt clock.Millis
	}

	// Confirmation is how far one member's configuration is.
	Confirmation struct {
		process    string
		dataCentre string
		next       provider.Offset
		heardAt    clock.Millis
	}
)

// Process gives the member: the daemon and its incarnation.
func (c Confirmation) Process() string { return c.process }

// DataCentre gives the member's data centre.
func (c Confirmation) DataCentre() string { return c.dataCentre }

// InForce tells whether the record at an offset was in force at the member
// when it was last heard.
func (c Confirmation) InForce(offset provider.Offset) bool { return c.next > offset }

// HeardAt gives when the member was last heard, or -1.
func (c Confirmation) HeardAt() clock.Millis { return c.heardAt }
