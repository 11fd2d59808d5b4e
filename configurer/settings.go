// Package configurer reads and checks a daemon's settings.
package configurer

import (
	"net/netip"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/decoder"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Settings are those of one daemon.
	Settings struct {
		// Name is the daemon's, unique for ever in its deployment.
		Name       string   `json:"name"`
		DataCentre string   `json:"data-centre"`
		Listen     Listen   `json:"listen"`
		Peers      []Peer   `json:"peers"`
		Platform   Platform `json:"platform"`
		Limits     Limits   `json:"limits"`
		Timing     Timing   `json:"timing"`
		LogLevel   string   `json:"log-level"`
		// Profiling opens the profiler on the status address.
		Profiling bool `json:"profiling"`
		// Seed is that of all random choices; 0 for one of the host's.
		Seed uint64 `json:"seed"`
	}

	// Listen are the addresses, each an IP number and port, that a daemon
	// listens on.
	Listen struct {
		// Callers is for callers and operators.
		Callers string `json:"callers"`
		// Peers is for the other daemons.
		Peers string `json:"peers"`
		// Status is for health, metrics and the status page.
		Status string `json:"status"`
	}

	// Peer is another daemon.
	Peer struct {
		Name       string `json:"name"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
	}

	// Platform are the addresses of the platform's services.
	Platform struct {
		Log   string `json:"log"`
		Hosts string `json:"hosts"`
		// Retention is how long the log keeps records.
		Retention clock.Millis `json:"retention"`
	}

	// Limits bound what one daemon takes.
	Limits struct {
		// Body is the most bytes of one request.
		Body sizer.Memory `json:"body"`
		// Payload is the most bytes of a request's payload.
		Payload sizer.Memory `json:"payload"`
		// Checks is the most quick checks in flight.
		Checks int `json:"checks"`
		// Waiters is the most callers that wait for submitted work.
		Waiters int `json:"waiters"`
		// Orders is the most orders to workers in flight.
		Orders int `json:"orders"`
		// SnapshotRecords is after how many records of a stream a snapshot
		// is written, if its time has not come before.
		SnapshotRecords int `json:"snapshot-records"`
	}

	// Timing are the periods and time limits of a daemon.
	Timing struct {
		// Tick is the period of decisions.
		Tick clock.Millis `json:"tick"`
		// LogPoll is the period of reads from the log.
		LogPoll clock.Millis `json:"log-poll"`
		// HostPoll is the period of reads of the list of hosts.
		HostPoll clock.Millis `json:"host-poll"`
		// Heartbeat is the period of exchanges with peers.
		Heartbeat clock.Millis `json:"heartbeat"`
		// Claim is how long a claim holds without a renewal.
		Claim clock.Millis `json:"claim"`
		// PlatformCall bounds a call to the platform.
		PlatformCall clock.Millis `json:"platform-call"`
		// PeerCall bounds a call to a peer.
		PeerCall clock.Millis `json:"peer-call"`
		// Check bounds a quick check whose caller gives no limit.
		Check clock.Millis `json:"check"`
		// Wait is the longest wait for submitted work in one call.
		Wait clock.Millis `json:"wait"`
		// BillGrace is how long after its end an hour's usage record waits
		// for late samples.
		BillGrace clock.Millis `json:"bill-grace"`
		// Shutdown is how long requests in flight may take to end.
		Shutdown clock.Millis `json:"shutdown"`
	}
)

// Parse reads settings from JSON, fills defaults and gives every fault.
func Parse(data []byte) (Settings, coder.Errors) {
	var s Settings
	faults := decoder.Unmarshal(data, &s)
	s.Defaults()
	faults = append(faults, s.Validate()...)
	return s, faults
}

// Own gives the address that peers reach the daemon at.
func (s Settings) Own() Peer {
	return Peer{Name: s.Name, DataCentre: s.DataCentre, Address: s.Listen.Peers}
}

// Claimants gives the daemons of the same data centre, this one included.
func (s Settings) Claimants() []string {
	names := []string{s.Name}
	for _, p := range s.Peers {
		if p.DataCentre == s.DataCentre {
			names = append(names, p.Name)
		}
	}
	return names
}

func validAddress(a string) bool {
	_, err := netip.ParseAddrPort(a)
	return err == nil
}
