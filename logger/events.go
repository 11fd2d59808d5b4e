package logger

import "github.com/apex/log"

// Daemon lifecycle.
var (
	Started      = Event{1001, log.InfoLevel, "daemon started"}
	Ready        = Event{1002, log.InfoLevel, "daemon is ready"}
	Leaving      = Event{1004, log.InfoLevel, "daemon is shutting down"}
	Stopped      = Event{1005, log.InfoLevel, "daemon stopped"}
	StopOverdue  = Event{1006, log.ErrorLevel, "daemon stops before all requests have ended"}
	StopRepeated = Event{1007, log.WarnLevel, "received another stop signal"}
)

// Reachability of the platform's log, of hosts and of peers.
var (
	LogDown       = Event{2001, log.WarnLevel, "log is unreachable"}
	LogUp         = Event{2002, log.InfoLevel, "log is reachable again"}
	LogHole       = Event{2003, log.ErrorLevel, "records were discarded before they were read"}
	RecordCorrupt = Event{2004, log.ErrorLevel, "record can't be decoded; skipping it"}
	HostsDown     = Event{2005, log.WarnLevel, "list of hosts can't be read"}
	PeerLost      = Event{2006, log.WarnLevel, "peer doesn't answer"}
	PeerBack      = Event{2007, log.InfoLevel, "peer answers again"}
	HostsUp       = Event{2008, log.InfoLevel, "list of hosts can be read again"}
)

// Shard ownership and tasks.
var (
	ShardClaimed    = Event{3001, log.InfoLevel, "shard was claimed"}
	ShardLost       = Event{3002, log.WarnLevel, "shard ownership was lost"}
	ShardReleased   = Event{3003, log.InfoLevel, "shard was released"}
	OrderFailed     = Event{3004, log.WarnLevel, "order to a worker failed"}
	TaskEnded       = Event{3005, log.DebugLevel, "task ended"}
	WorkQuarantined = Event{3006, log.WarnLevel, "worker is quarantined"}
	JobParked       = Event{3007, log.WarnLevel, "job is parked"}
)

// Configuration changes.
var (
	ChangeAccepted = Event{4001, log.InfoLevel, "configuration change is in force"}
	ChangeRefused  = Event{4002, log.InfoLevel, "configuration change was refused"}
)

// Callers' requests.
var (
	RequestFailed = Event{5001, log.DebugLevel, "request ended with an error"}
	Panicked      = Event{5002, log.ErrorLevel, "request handler panicked; answering with an internal error"}
)

// Leader election, scheduling and maintenance on the platform.
var (
	LeaderElected   = Event{6001, log.InfoLevel, "this daemon leads"}
	LeaderDeposed   = Event{6002, log.WarnLevel, "this daemon no longer leads"}
	LeaderChanged   = Event{6003, log.InfoLevel, "another daemon leads"}
	ConfigInForce   = Event{6004, log.InfoLevel, "configuration is in force"}
	Evacuated       = Event{6005, log.InfoLevel, "set of evacuated data centres changed"}
	TermEnded       = Event{6006, log.WarnLevel, "this daemon must step down as leader"}
	ClaimFailed     = Event{6007, log.WarnLevel, "claim to leadership failed"}
	JobAccepted     = Event{6010, log.InfoLevel, "job accepted"}
	JobRefused      = Event{6011, log.WarnLevel, "request refused"}
	CancelledEarly  = Event{6094, log.InfoLevel, "job cancelled of which no submission is known"}
	SubmittedLate   = Event{6095, log.WarnLevel, "submission of a job that was cancelled before"}
	ClocksDiffer    = Event{6019, log.WarnLevel, "time of day differs from that of the former leader"}
	DepositsKept    = Event{6017, log.WarnLevel, "store does not confirm that deposits are deleted"}
	DepositsDeleted = Event{6018, log.InfoLevel, "store deletes deposits again"}
	JobDeposited    = Event{6014, log.InfoLevel, "job stored for a leader that can't be reached"}
	LeaderSilent    = Event{6015, log.WarnLevel, "leader does not answer this host"}
	LeaderBack      = Event{6016, log.InfoLevel, "leader answers this host again"}
	JobUnclear      = Event{6012, log.WarnLevel, "request ended without a known outcome"}
	JobEnded        = Event{6013, log.InfoLevel, "job ended"}
	RunPlaced       = Event{6020, log.InfoLevel, "run placed"}
	RunFailed       = Event{6021, log.InfoLevel, "run failed"}
	RunMissing      = Event{6022, log.WarnLevel, "run is missing from the report of its worker"}
	OrderUnclear    = Event{6023, log.WarnLevel, "order was not answered"}
	OrderRefused    = Event{6024, log.InfoLevel, "worker refused an order"}
	RunStalled      = Event{6025, log.WarnLevel, "run makes no progress"}
	RunEnded        = Event{6027, log.InfoLevel, "run ended before completion"}
	RunRelocated    = Event{6026, log.DebugLevel, "run moves to another worker"}
	AdviceGiven     = Event{6028, log.DebugLevel, "policy selected the workers that may run a step"}
	AdviceFailed    = Event{6029, log.WarnLevel, "policy did not select workers for a step"}
	WorkerSilent    = Event{6030, log.WarnLevel, "worker does not answer"}
	WorkerBack      = Event{6031, log.InfoLevel, "worker answers again"}
	SilenceRecorded = Event{6070, log.InfoLevel, "worker that does not answer is recorded; its lease is not extended until it is heard"}
	OutageMeasured  = Event{6071, log.InfoLevel, "workers' clocks show how long no daemon has led"}
	WorkerLost      = Event{6032, log.WarnLevel, "lease of a worker that does not answer expired"}
	WorkerReborn    = Event{6033, log.InfoLevel, "worker was restarted"}
	WorkerGone      = Event{6034, log.InfoLevel, "worker process is gone"}
	WorkerCrashed   = Event{6072, log.WarnLevel, "worker process has ended without notice"}
	TaskSuspected   = Event{6073, log.InfoLevel, "task may have caused the loss of its worker"}
	TaskCleared     = Event{6074, log.InfoLevel, "task has not caused the loss of its workers"}
	TaskGivenUp     = Event{6075, log.WarnLevel, "task is given up because workers crash that start it"}
	TrialWaits      = Event{6076, log.InfoLevel, "worker is kept for a task that may crash it"}
	EndsMissing     = Event{6035, log.ErrorLevel, "report lacks ended runs that were not acknowledged"}
	RunAbandoned    = Event{6036, log.InfoLevel, "run was given up before its end was reported"}
	TaskWaiting     = Event{6067, log.WarnLevel, "long-running task is without a run"}
	TaskResumed     = Event{6068, log.InfoLevel, "long-running task has a run after a wait"}
	TasksWaiting    = Event{6069, log.InfoLevel, "number of long-running tasks without a run changed"}
	ReportInvalid   = Event{6038, log.WarnLevel, "report of a worker can't be decoded"}
	StoreLost       = Event{6040, log.WarnLevel, "store does not answer"}
	StoreBack       = Event{6041, log.InfoLevel, "store answers again"}
	RecordInvalid   = Event{6042, log.ErrorLevel, "stored record is invalid"}
	EntryInvalid    = Event{6043, log.WarnLevel, "registry entry or operator setting is invalid"}
	Reloaded        = Event{6049, log.InfoLevel, "settings were reloaded"}
	ReloadRefused   = Event{6048, log.ErrorLevel, "settings are invalid; keeping the previous ones"}
	WaveSeen        = Event{6060, log.InfoLevel, "machine upkeep wave started"}
	UpkeepAnswered  = Event{6061, log.InfoLevel, "machine upkeep order was answered"}
	WaveOver        = Event{6062, log.InfoLevel, "machine upkeep wave ended"}
	CloudFailed     = Event{6063, log.WarnLevel, "call to the platform's machine service failed"}
	TermFailed      = Event{6008, log.ErrorLevel, "unexpected error ends the term of this daemon"}
	ProcessDelayed  = Event{6065, log.WarnLevel, "process gets its turns late"}
	ProcessInTime   = Event{6066, log.InfoLevel, "process gets its turns in time again"}
	LinesLeftOut    = Event{6050, log.WarnLevel, "log lines were dropped"}
)

// Waits of tasks that end by themselves.
var (
	FiniteTaskWaiting  = Event{6077, log.InfoLevel, "task that ends by itself waits for a worker"}
	FillerRescued      = Event{6079, log.InfoLevel, "task starts although it disturbs serving tasks, as it or its job has waited for too long"}
	FiniteTasksWaiting = Event{6078, log.InfoLevel, "tasks that end by themselves wait for workers"}
)

// Tenants.
var (
	KeyRefused    = Event{6080, log.InfoLevel, "key is not that of any tenant"}
	TenantWaits   = Event{6081, log.InfoLevel, "starts wait for the cap of their tenant"}
	TenantChanged = Event{6082, log.InfoLevel, "cap or weight of a tenant changed"}
	TenantAdded   = Event{6083, log.InfoLevel, "tenant added"}
	TenantRemoved = Event{6084, log.InfoLevel, "tenant removed"}
)

// Reservations of room for large tasks.
var (
	RoomReserved       = Event{6090, log.InfoLevel, "room on a worker is reserved for a task"}
	ReservationUsed    = Event{6091, log.InfoLevel, "task starts in the room reserved for it"}
	ReservationMoves   = Event{6092, log.InfoLevel, "reserved room has not become free, another worker is sought"}
	ReservationDropped = Event{6093, log.InfoLevel, "reservation of room on a worker is dropped"}
)
