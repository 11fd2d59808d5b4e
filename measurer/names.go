package measurer

// Counters.
const (
	// Results counts the ends of requests, by result code.
	Results Counter = "request_results"
	// Appends counts appends to the log.
	Appends Counter = "log_appends"
	// AppendedBytes counts bytes appended to the log.
	AppendedBytes Counter = "log_appended_bytes"
	// ReadBytes counts bytes read from the log.
	ReadBytes Counter = "log_read_bytes"
	// LogErrors counts calls to the log that failed.
	LogErrors Counter = "log_errors"
	// CorruptRecords counts records that can't be decoded.
	CorruptRecords Counter = "log_corrupt_records"
	// PeerErrors counts calls to peers that failed.
	PeerErrors Counter = "peer_errors"
	// Orders counts orders to workers.
	Orders Counter = "worker_orders"
	// OrderErrors counts orders to workers that failed.
	OrderErrors Counter = "worker_order_errors"
	// Starts counts tasks that were started.
	Starts Counter = "task_starts"
	// RequestsServed counts callers' requests that were answered as asked.
	RequestsServed Counter = "requests_served"
	// RequestsUnknown counts requests for jobs that do not exist.
	RequestsUnknown Counter = "requests_unknown"
	// RequestsInvalid counts requests that nobody can carry out.
	RequestsInvalid Counter = "requests_invalid"
	// RequestsRefused counts requests that were refused and have not run.
	RequestsRefused Counter = "requests_refused"
	// RequestsUnclear counts requests that ended without a known outcome.
	RequestsUnclear Counter = "requests_unclear"
	// OrdersUnclear counts orders that a worker did not answer.
	OrdersUnclear Counter = "worker_orders_unclear"
	// Looks counts looks at workers.
	Looks Counter = "worker_looks"
	// Terms counts the times that the daemon was elected.
	Terms Counter = "leader_terms"
	// Evictions counts tasks that were evicted.
	Evictions Counter = "task_evictions"
)

// Gauges.
const (
	// OwnedShards is the number of shards that the daemon owns.
	OwnedShards Gauge = "owned_shards"
	// RunningTasks is the number of tasks that run in those shards.
	RunningTasks Gauge = "running_tasks"
	// WaitingTasks is the number of tasks that wait in those shards.
	WaitingTasks Gauge = "waiting_tasks"
	// ConfigOffset is the first offset of the config stream not yet applied.
	ConfigOffset Gauge = "config_next_offset"
	// Leading is 1 while the daemon leads.
	Leading Gauge = "leading"
	// QueuedJobs is the number of accepted jobs that have not begun, at the leader.
	QueuedJobs Gauge = "queued_jobs"
	// ActiveJobs is the number of accepted jobs that have not ended, at the leader.
	ActiveJobs Gauge = "active_jobs"
	// SilentWorkers is the number of workers that do not answer the leader.
	SilentWorkers Gauge = "silent_workers"
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion Gauge = "config_version"
	// ReadyGauge is 1 while the daemon is ready.
	ReadyGauge Gauge = "ready"
	// InFlight is the number of requests in flight.
	InFlight Gauge = "requests_in_flight"
)

// Timers.
const (
	// CheckTime is how long quick checks take.
	CheckTime Timer = "check_seconds"
	// OrderTime is how long orders to workers take.
	OrderTime Timer = "worker_order_seconds"
	// AppendTime is how long appends to the log take.
	AppendTime Timer = "log_append_seconds"
	// RequestTime is how long callers' requests take at the host that they reach.
	RequestTime Timer = "request_seconds"
	// FirstStartTime is the time from a job's acceptance to its first start.
	FirstStartTime Timer = "first_start_seconds"
	// LookTime is how long looks at workers take, with the wait for a run to end.
	LookTime Timer = "worker_look_seconds"
	// StepTime is how long one step of the decision core takes.
	StepTime Timer = "step_seconds"
)

var (
	counters = []Counter{Appends, AppendedBytes, ReadBytes, LogErrors, CorruptRecords, PeerErrors, Orders, OrderErrors, Starts, Evictions,
		RequestsServed, RequestsUnknown, RequestsInvalid, RequestsRefused, RequestsUnclear, OrdersUnclear, Looks, Terms}
	gauges = []Gauge{OwnedShards, RunningTasks, WaitingTasks, ConfigOffset, ReadyGauge, InFlight, Leading, QueuedJobs, ActiveJobs, SilentWorkers, ConfigVersion}
	timers = []Timer{CheckTime, OrderTime, AppendTime, RequestTime, FirstStartTime, LookTime, StepTime}
)
