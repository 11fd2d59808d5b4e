package configurer

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

var (
	defaultLimits = Limits{
		Body:    sizer.Memory(1 * sizer.MiB),
		Payload: sizer.Memory(256 * sizer.KiB),
		Checks:  2048,
		Waiters: 4096,
		Orders:  64,

		SnapshotRecords: 50_000,
	}

	defaultRetention = 7 * clock.Day

	defaultTiming = Timing{
		Tick:         200, // milliseconds
		LogPoll:      500, // milliseconds
		HostPoll:     2 * clock.Second,
		Heartbeat:    clock.Second,
		Claim:        6 * clock.Second,
		PlatformCall: 3 * clock.Second,
		PeerCall:     clock.Second,
		Check:        2 * clock.Second,
		Wait:         30 * clock.Second,
		BillGrace:    2 * clock.Minute,
		Shutdown:     30 * clock.Second,
	}
)

// Defaults sets each omitted setting to its default.
func (s *Settings) Defaults() {
	s.LogLevel = cmp.Or(s.LogLevel, "info")
	s.Limits.Body = cmp.Or(s.Limits.Body, defaultLimits.Body)
	s.Limits.Payload = cmp.Or(s.Limits.Payload, defaultLimits.Payload)
	s.Limits.Checks = cmp.Or(s.Limits.Checks, defaultLimits.Checks)
	s.Limits.Waiters = cmp.Or(s.Limits.Waiters, defaultLimits.Waiters)
	s.Limits.Orders = cmp.Or(s.Limits.Orders, defaultLimits.Orders)
	s.Limits.SnapshotRecords = cmp.Or(s.Limits.SnapshotRecords, defaultLimits.SnapshotRecords)
	s.Platform.Retention = cmp.Or(s.Platform.Retention, defaultRetention)
	s.Timing.Tick = cmp.Or(s.Timing.Tick, defaultTiming.Tick)
	s.Timing.LogPoll = cmp.Or(s.Timing.LogPoll, defaultTiming.LogPoll)
	s.Timing.HostPoll = cmp.Or(s.Timing.HostPoll, defaultTiming.HostPoll)
	s.Timing.Heartbeat = cmp.Or(s.Timing.Heartbeat, defaultTiming.Heartbeat)
	s.Timing.Claim = cmp.Or(s.Timing.Claim, defaultTiming.Claim)
	s.Timing.PlatformCall = cmp.Or(s.Timing.PlatformCall, defaultTiming.PlatformCall)
	s.Timing.PeerCall = cmp.Or(s.Timing.PeerCall, defaultTiming.PeerCall)
	s.Timing.Check = cmp.Or(s.Timing.Check, defaultTiming.Check)
	s.Timing.Wait = cmp.Or(s.Timing.Wait, defaultTiming.Wait)
	s.Timing.BillGrace = cmp.Or(s.Timing.BillGrace, defaultTiming.BillGrace)
	s.Timing.Shutdown = cmp.Or(s.Timing.Shutdown, defaultTiming.Shutdown)
}
