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

// Scheduling on the platform.
var (
	LeaderElected  = Event{6001, log.InfoLevel, "this daemon leads"}
	LeaderDeposed  = Event{6002, log.WarnLevel, "this daemon leads no more"}
	LeaderChanged  = Event{6003, log.InfoLevel, "another daemon leads"}
	ConfigInForce  = Event{6004, log.InfoLevel, "configuration is in force"}
	Evacuated      = Event{6005, log.InfoLevel, "evacuated data centres changed"}
	TermEnded      = Event{6006, log.WarnLevel, "this daemon may not go on leading"}
	ClaimFailed    = Event{6007, log.WarnLevel, "claim to lead could not be made"}
	JobAccepted    = Event{6010, log.InfoLevel, "job accepted"}
	JobRefused     = Event{6011, log.WarnLevel, "request refused"}
	JobDeposited   = Event{6014, log.InfoLevel, "job stored for a leader that can't be reached"}
	LeaderSilent   = Event{6015, log.WarnLevel, "leader does not answer this host"}
	LeaderBack     = Event{6016, log.InfoLevel, "leader answers this host again"}
	JobUnclear     = Event{6012, log.WarnLevel, "request ended without a known outcome"}
	JobEnded       = Event{6013, log.InfoLevel, "job ended"}
	RunPlaced      = Event{6020, log.InfoLevel, "run placed"}
	RunFailed      = Event{6021, log.InfoLevel, "run failed"}
	RunMissing     = Event{6022, log.WarnLevel, "run is not on its worker"}
	OrderUnclear   = Event{6023, log.WarnLevel, "order was not answered"}
	OrderRefused   = Event{6024, log.InfoLevel, "worker refused an order"}
	RunStalled     = Event{6025, log.WarnLevel, "run makes no progress"}
	RunEnded       = Event{6027, log.InfoLevel, "run ended without being done"}
	RunRelocated   = Event{6026, log.DebugLevel, "filler moves to where it disturbs nobody"}
	AdviceGiven    = Event{6028, log.DebugLevel, "policy said which workers may run a step"}
	AdviceFailed   = Event{6029, log.WarnLevel, "policy did not say which workers may run a step"}
	WorkerSilent   = Event{6030, log.WarnLevel, "worker does not answer"}
	WorkerBack     = Event{6031, log.InfoLevel, "worker answers again"}
	WorkerLost     = Event{6032, log.WarnLevel, "lease of a silent worker is over"}
	WorkerReborn   = Event{6033, log.InfoLevel, "worker was restarted"}
	StoreLost      = Event{6040, log.WarnLevel, "store does not answer"}
	StoreBack      = Event{6041, log.InfoLevel, "store answers again"}
	RecordInvalid  = Event{6042, log.ErrorLevel, "stored record can't be used"}
	EntryInvalid   = Event{6043, log.DebugLevel, "entry of the registry or the operator can't be used"}
	Reloaded       = Event{6049, log.InfoLevel, "settings were read again"}
	ReloadRefused  = Event{6048, log.ErrorLevel, "settings can't be used"}
	WaveSeen       = Event{6060, log.InfoLevel, "wave of upkeep begins"}
	UpkeepAnswered = Event{6061, log.InfoLevel, "order for a machine's upkeep was answered"}
	WaveOver       = Event{6062, log.InfoLevel, "wave of upkeep is over"}
	CloudFailed    = Event{6063, log.WarnLevel, "platform did not answer about its machines"}
	LinesLeftOut   = Event{6050, log.WarnLevel, "log lines were left out"}
)
