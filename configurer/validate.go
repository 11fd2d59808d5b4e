package configurer

import (
	"fmt"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// validator collects errors. addresses maps each address seen so far to its JSON
	// path.
	validator struct {
		faults    coder.Errors
		addresses map[string]string
	}
)

const (
	maxPeriod = clock.Hour
	minPeriod = clock.Millis(10)
	maxBody   = 64 << 20 // bytes
	maxCount  = 1_000_000

	minRetention = clock.Day
	maxRetention = 365 * clock.Day
)

// Validate returns every error in s.
func (s Settings) Validate() coder.Errors {
	v := &validator{addresses: map[string]string{}}
	v.required("$.name", s.Name)
	v.required("$.data-centre", s.DataCentre)
	v.uniqueAddress("$.listen.callers", s.Listen.Callers)
	v.uniqueAddress("$.listen.peers", s.Listen.Peers)
	v.uniqueAddress("$.listen.status", s.Listen.Status)
	v.peers(s)
	v.platform(s.Platform)
	v.limits(s.Limits)
	v.timing(s.Timing)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		v.add(coder.BadFormat, "$.log-level", "%q is none of debug, info, warn and error", s.LogLevel)
	}
	return v.faults
}

func (v *validator) peers(s Settings) {
	names := map[string]bool{s.Name: true}
	for i, p := range s.Peers {
		path := fmt.Sprintf("$.peers[%d]", i)
		v.required(path+".name", p.Name)
		v.required(path+".data-centre", p.DataCentre)
		v.uniqueAddress(path+".address", p.Address)
		if names[p.Name] {
			v.add(coder.Duplicate, path+".name", "%q is the name of this daemon or of another peer", p.Name)
		}
		names[p.Name] = true
	}
}

func (v *validator) platform(p Platform) {
	v.address("$.platform.log", p.Log)
	v.address("$.platform.hosts", p.Hosts)
	if p.Retention < minRetention || p.Retention > maxRetention {
		v.add(coder.OutOfRange, "$.platform.retention", "%s is not between %s and %s", p.Retention.Duration(), minRetention.Duration(), maxRetention.Duration())
	}
}

func (v *validator) limits(l Limits) {
	v.between("$.limits.body", int64(l.Body), 1, maxBody)
	v.between("$.limits.payload", int64(l.Payload), 1, int64(l.Body))
	v.between("$.limits.checks", int64(l.Checks), 1, maxCount)
	v.between("$.limits.waiters", int64(l.Waiters), 1, maxCount)
	v.between("$.limits.orders", int64(l.Orders), 1, maxCount)
	v.between("$.limits.snapshot-records", int64(l.SnapshotRecords), 1, maxCount)
}

func (v *validator) timing(t Timing) {
	v.period("$.timing.tick", t.Tick)
	v.period("$.timing.log-poll", t.LogPoll)
	v.period("$.timing.host-poll", t.HostPoll)
	v.period("$.timing.heartbeat", t.Heartbeat)
	v.period("$.timing.claim", t.Claim)
	v.period("$.timing.platform-call", t.PlatformCall)
	v.period("$.timing.peer-call", t.PeerCall)
	v.period("$.timing.check", t.Check)
	v.period("$.timing.wait", t.Wait)
	v.period("$.timing.bill-grace", t.BillGrace)
	v.period("$.timing.shutdown", t.Shutdown)
	if t.Claim < 4*t.LogPoll {
		v.add(coder.OutOfRange, "$.timing.claim", "must be at least four times log-poll, or it may expire before a renewal is read back")
	}
}

func (v *validator) add(c coder.Code, path, format string, args ...any) {
	v.faults = append(v.faults, coder.At(c, path, format, args...))
}

func (v *validator) required(path, text string) {
	if text == "" {
		v.add(coder.Missing, path, "must be given")
	}
}

// uniqueAddress checks an address that must not appear twice in the settings.
func (v *validator) uniqueAddress(path, a string) {
	v.address(path, a)
	if a == "" {
		return
	}
	if other, exists := v.addresses[a]; exists {
		v.add(coder.Duplicate, path, "%s is also at %s", a, other)
		return
	}
	v.addresses[a] = path
}

// address checks that an address is given and is an IP number and port.
func (v *validator) address(path, a string) {
	if a == "" {
		v.required(path, a)
		return
	}
	if !isIPPort(a) {
		v.add(coder.BadFormat, path, "%q is not an IP number and port, such as 10.0.0.1:7100", a)
	}
}

func (v *validator) between(path string, n, low, high int64) {
	if n < low || n > high {
		v.add(coder.OutOfRange, path, "%d is not between %d and %d", n, low, high)
	}
}

func (v *validator) period(path string, m clock.Millis) {
	if m < minPeriod || m > maxPeriod {
		v.add(coder.OutOfRange, path, "%s is not between %s and %s", m.Duration(), minPeriod.Duration(), maxPeriod.Duration())
	}
}
