package replicator

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Peer is a process of another daemon as known from the platform's list of hosts, the
	// settings and its heartbeats.
	Peer struct {
		// Process is the daemon with its incarnation.
		Process    string
		DataCentre string
		// Dead is set once the process has been silent for DropAfter.
		Dead bool
	}

	// peerState is what a peer last reported.
	peerState struct {
		dataCentre string
		next       provider.Offset
		heardAt    clock.Millis
		// nothingInFlightAt is the latest known time at which the peer had no record in
		// flight and had appended nothing that this daemon lacks.
		nothingInFlightAt clock.Millis
	}

	// MemberProgress is how far a member has applied the config stream.
	MemberProgress struct {
		process    string
		dataCentre string
		next       provider.Offset
		heardAt    clock.Millis
	}
)

// Process returns the member's process: the daemon with its incarnation.
func (c MemberProgress) Process() string { return c.process }

// DataCentre returns the member's data centre.
func (c MemberProgress) DataCentre() string { return c.dataCentre }

// InForce reports whether the record at an offset was in force at the member when it last
// reported.
func (c MemberProgress) InForce(offset provider.Offset) bool { return c.next > offset }

// HeardAt returns when the member last reported, or a negative time if it never has.
func (c MemberProgress) HeardAt() clock.Millis { return c.heardAt }
