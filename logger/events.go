package logger

import "github.com/apex/log"

// Life of a daemon.
var (
	Started      = Event{1001, log.InfoLevel, "daemon started"}
	Ready        = Event{1002, log.InfoLevel, "daemon is ready"}
	Leaving      = Event{1004, log.InfoLevel, "daemon is leaving"}
	Stopped      = Event{1005, log.InfoLevel, "daemon stopped"}
	StopOverdue  = Event{1006, log.ErrorLevel, "daemon stops before all requests have ended"}
	StopRepeated = Event{1007, log.WarnLevel, "a second signal to stop came"}
)

// The platform and peers.
var (
	LogDown       = Event{2001, log.WarnLevel, "log can't be reached"}
	LogUp         = Event{2002, log.InfoLevel, "log is reached again"}
	LogHole       = Event{2003, log.ErrorLevel, "records were discarded before they were read"}
	RecordCorrupt = Event{2004, log.ErrorLevel, "a record can't be decoded and is passed over"}
	HostsDown     = Event{2005, log.WarnLevel, "list of hosts can't be read"}
	PeerLost      = Event{2006, log.WarnLevel, "peer doesn't answer"}
	PeerBack      = Event{2007, log.InfoLevel, "peer answers again"}
	HostsUp       = Event{2008, log.InfoLevel, "list of hosts is read again"}
)

// Ownership and work.
var (
	ShardClaimed    = Event{3001, log.InfoLevel, "shard is owned"}
	ShardLost       = Event{3002, log.WarnLevel, "shard is no longer owned"}
	ShardReleased   = Event{3003, log.InfoLevel, "shard was released"}
	OrderFailed     = Event{3004, log.WarnLevel, "order to a worker failed"}
	TaskEnded       = Event{3005, log.DebugLevel, "task ended"}
	WorkQuarantined = Event{3006, log.WarnLevel, "worker is quarantined"}
	JobParked       = Event{3007, log.WarnLevel, "job is parked"}
)

// Configuration.
var (
	ChangeAccepted = Event{4001, log.InfoLevel, "change is in force"}
	ChangeRefused  = Event{4002, log.InfoLevel, "change was refused"}
)

// Requests.
var (
	RequestFailed = Event{5001, log.DebugLevel, "request ended without an answer of its own"}
	Panicked      = Event{5002, log.ErrorLevel, "a call panicked and was answered as internal"}
)
