// Package configurer parses and validates the settings of a daemon.
package configurer

import (
	"net/netip"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/decoder"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Settings are the settings of one daemon.
	Settings struct {
		// Name of the daemon. It must be unique in the deployment and never be
		// reused for another daemon.
		Name       string   `json:"name"`
		DataCentre string   `json:"data-centre"`
		Listen     Listen   `json:"listen"`
		Peers      []Peer   `json:"peers"`
		Platform   Platform `json:"platform"`
		Limits     Limits   `json:"limits"`
		Timing     Timing   `json:"timing"`
		LogLevel   string   `json:"log-level"`
		// Profiling enables net/http/pprof on the status address.
		Profiling bool `json:"profiling"`
		// Seed of the pseudo-random choices of the daemon.
		Seed uint64 `json:"seed"`
	}

	// Listen are the addresses that a daemon listens on, each an IP number and
	// port.
	Listen struct {
		// Callers serves callers and operators.
		Callers string `json:"callers"`
		// Peers serves the other daemons.
		Peers string `json:"peers"`
		// Status serves health checks, metrics and the status page.
		Status string `json:"status"`
	}

	// Peer is another daemon of the deployment.
	Peer struct {
		Name       string `json:"name"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
	}

	// Platform are the addresses of the platform's log and list of hosts, each an IP
	// number and port.
	Platform struct {
		Log   string `json:"log"`
		Hosts string `json:"hosts"`
		// Retention is how long the log keeps records. Snapshots are written
		// often enough that older records are not needed.
		Retention clock.Millis `json:"retention"`
	}

	// Limits are the admission limits of one daemon.
	Limits struct {
		// Body is the maximum size of a request in bytes.
		Body sizer.Memory `json:"body"`
		// Payload is the maximum size of a request's payload in bytes.
		Payload sizer.Memory `json:"payload"`
		// Checks is the threshold for quick checks: they are refused while more
		// requests than this are in flight.
		Checks int `json:"checks"`
		// Waiters is the threshold for calls that wait for submitted work: they
		// are refused while more requests than this are in flight.
		Waiters int `json:"waiters"`
		// Orders is the maximum number of orders to workers that are in flight
		// at the same time; further orders wait.
		Orders int `json:"orders"`
		// SnapshotRecords is the number of records of a stream after which a
		// snapshot is written, unless one is due earlier because of Retention.
		SnapshotRecords int `json:"snapshot-records"`
	}

	// Timing are the periods and timeouts of a daemon.
	Timing struct {
		// Tick is the period of scheduling steps.
		Tick clock.Millis `json:"tick"`
		// LogPoll is the polling period of the log.
		LogPoll clock.Millis `json:"log-poll"`
		// HostPoll is the polling period of the list of hosts.
		HostPoll clock.Millis `json:"host-poll"`
		// Heartbeat is the period of heartbeats to each peer.
		Heartbeat clock.Millis `json:"heartbeat"`
		// Claim is the duration of a shard lease: the ownership of a shard
		// expires after this time unless the owner renews it.
		Claim clock.Millis `json:"claim"`
		// PlatformCall is the timeout of a call to the platform.
		PlatformCall clock.Millis `json:"platform-call"`
		// PeerCall is the timeout of a call to a peer.
		PeerCall clock.Millis `json:"peer-call"`
		// Check is the timeout of a quick check whose request doesn't set one.
		Check clock.Millis `json:"check"`
		// Wait is the maximum time that one call waits for submitted work or for
		// the confirmation of a change.
		Wait clock.Millis `json:"wait"`
		// BillGrace is how long the usage record of an hour is delayed after the
		// end of the hour, to include late samples.
		BillGrace clock.Millis `json:"bill-grace"`
		// Shutdown is the maximum time for requests in flight to end at a
		// shutdown.
		Shutdown clock.Millis `json:"shutdown"`
	}
)

// Parse parses settings from JSON and returns them with defaults set, and every error in
// them. Settings with errors must not be used.
func Parse(data []byte) (Settings, coder.Errors) {
	var s Settings
	faults := decoder.Unmarshal(data, &s)
	s.Defaults()
	faults = append(faults, s.Validate()...)
	return s, faults
}

// AsPeer returns the daemon itself as a Peer, as it appears in the settings of its peers.
func (s Settings) AsPeer() Peer {
	return Peer{Name: s.Name, DataCentre: s.DataCentre, Address: s.Listen.Peers}
}

// Claimants returns the names of the daemons that may claim the shards of the data
// centre: this one and its peers in the same data centre.
func (s Settings) Claimants() []string {
	names := []string{s.Name}
	for _, p := range s.Peers {
		if p.DataCentre == s.DataCentre {
			names = append(names, p.Name)
		}
	}
	return names
}

func isIPPort(a string) bool {
	_, err := netip.ParseAddrPort(a)
	return err == nil
}
