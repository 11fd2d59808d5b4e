package measurer

// Counters.
const (
	// Results counts finished requests, by result code.
	Results Counter = "request_results"
	// Appends counts appends to the log.
	Appends Counter = "log_appends"
	// AppendedBytes counts bytes appended to the log.
	AppendedBytes Counter = "log_appended_bytes"
	// ReadBytes counts bytes read from the log.
	ReadBytes Counter = "log_read_bytes"
	// LogErrors counts calls to the log that failed.
	LogErrors Counter = "log_errors"
	// CorruptRecords counts log records that can't be decoded.
	CorruptRecords Counter = "log_corrupt_records"
	// PeerErrors counts calls to peers that failed.
	PeerErrors Counter = "peer_errors"
	// Orders counts orders sent to workers.
	Orders Counter = "worker_orders"
	// OrderErrors counts orders to workers that failed.
	OrderErrors Counter = "worker_order_errors"
	// Starts counts started tasks.
	Starts Counter = "task_starts"
	// RequestsServed counts callers' requests that succeeded.
	RequestsServed Counter = "requests_served"
	// RequestsUnknown counts requests for jobs that do not exist.
	RequestsUnknown Counter = "requests_unknown"
	// RequestsInvalid counts requests that no host can carry out, such as malformed
	// requests.
	RequestsInvalid Counter = "requests_invalid"
	// RequestsRefused counts requests that were refused without any effect.
	RequestsRefused Counter = "requests_refused"
	// RequestsUnclear counts requests whose outcome is unknown, such as after a timeout.
	RequestsUnclear Counter = "requests_unclear"
	// OrdersUnclear counts orders that a worker didn't answer. It may or may not have
	// carried them out.
	OrdersUnclear Counter = "worker_orders_unclear"
	// WorkerPolls counts the leader's polls of workers for their state. The metric's name
	// calls a poll a look.
	WorkerPolls Counter = "worker_looks"
	// Terms counts the terms for which the daemon was elected leader.
	Terms Counter = "leader_terms"
	// WorkerCrashes counts the workers that have ended without notice.
	WorkerCrashes Counter = "worker_crashes"
	// RunsLost counts the runs of these workers.
	RunsLost Counter = "runs_lost_to_crashes"
	// TasksGivenUp counts the tasks that were given up because workers crash that start them.
	TasksGivenUp Counter = "tasks_given_up"
	// OddEntries counts the registry entries that name no worker to use.
	OddEntries Counter = "registry_entries_odd"
	// Evictions counts evicted tasks.
	Evictions Counter = "task_evictions"
	// RefusedSlowAppends counts the jobs that the leader refused because it could not store them
	// while their callers wait.
	RefusedSlowAppends Counter = "jobs_refused_slow_appends"
	// RefusedSlowStarts counts the jobs that the leader refused because it could not start their
	// tasks in time.
	RefusedSlowStarts Counter = "jobs_refused_slow_starts"
	// TenantRefused counts the jobs of a tenant that were refused by rate.
	TenantRefused Counter = "tenant_refused"
)

// Gauges.
const (
	// OwnedShards is the number of shards that the daemon owns.
	OwnedShards Gauge = "owned_shards"
	// RunningTasks is the number of running tasks in the owned shards.
	RunningTasks Gauge = "running_tasks"
	// WaitingTasks is the number of waiting tasks in the owned shards.
	WaitingTasks Gauge = "waiting_tasks"
	// ConfigOffset is the offset of the next record of the log's stream "config"
	// to be applied.
	ConfigOffset Gauge = "config_next_offset"
	// Leading is 1 while the daemon is the leader, 0 otherwise.
	Leading Gauge = "leading"
	// QueuedJobs is the number of accepted jobs that have not started. Only the leader
	// reports it.
	QueuedJobs Gauge = "queued_jobs"
	// ActiveJobs is the number of accepted jobs that have not ended. Only the leader
	// reports it.
	ActiveJobs Gauge = "active_jobs"
	// SilentWorkers is the number of workers that do not answer the leader's polls. Only
	// the leader reports it.
	SilentWorkers Gauge = "silent_workers"
	// LongRunningWaiting is the number of long-running tasks without a run that their worker
	// has confirmed. Only the leader reports it.
	LongRunningWaiting Gauge = "long_running_tasks_waiting"
	// UndeletedDeposits is the number of deposited jobs that the leader has stored itself and whose
	// deposits the store has not deleted. Only the leader reports it.
	UndeletedDeposits Gauge = "deposits_undeleted"
	// WaitingForRoom is the number of tasks that end by themselves, have waited for a while and fit on
	// no worker. Only the leader reports it, as the next seven.
	WaitingForRoom Gauge = "tasks_waiting_for_room"
	// LongestWait is the longest wait for a worker among the ready tasks that end by themselves, in
	// seconds.
	LongestWait Gauge = "longest_wait_seconds"
	// RoomReservations is the number of workers with room reserved for these tasks.
	RoomReservations Gauge = "room_reservations"
	// FragmentedCores, FragmentedMemory and FragmentedGPUs are the free room, in cores, bytes and
	// devices, of workers on which none of these tasks fits.
	FragmentedCores  Gauge = "fragmented_cores"
	FragmentedMemory Gauge = "fragmented_memory_bytes"
	FragmentedGPUs   Gauge = "fragmented_gpus"
	// ForecastRatio is the mean ratio of the actual to the forecast run time.
	ForecastRatio Gauge = "run_forecast_ratio"
	// ForecastLate is the fraction of runs that end after their forecast.
	ForecastLate Gauge = "run_forecast_late"
	// ProcessDelay is how late the leader's scheduler got its last turn, in seconds.
	ProcessDelay Gauge = "process_delay_seconds"
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion Gauge = "config_version"
	// ReadyGauge is 1 while the daemon is ready to serve requests, 0 otherwise.
	ReadyGauge Gauge = "ready"
	// InFlight is the number of requests being served.
	InFlight Gauge = "requests_in_flight"
	// TenantRunning is what a tenant holds, as a fraction of its cap. Only the leader reports it,
	// as the other gauges of tenants.
	TenantRunning Gauge = "tenant_running"
	// TenantWaiting is the number of a tenant's tasks that wait.
	TenantWaiting Gauge = "tenant_waiting"
	// TenantShare is the dominant share of a tenant, as a fraction of its fair share.
	TenantShare Gauge = "tenant_share"
)

// Timers.
const (
	// CheckTime is the latency of checks, which are short synchronous requests.
	CheckTime Timer = "check_seconds"
	// OrderTime is the round-trip time of an order to a worker.
	OrderTime Timer = "worker_order_seconds"
	// AppendTime is the latency of an append to the log.
	AppendTime Timer = "log_append_seconds"
	// RequestTime is the latency of a caller's request, measured at the host that
	// receives it.
	RequestTime Timer = "request_seconds"
	// FirstStartTime is the time from a job's acceptance to its first start.
	FirstStartTime Timer = "first_start_seconds"
	// WorkerPollTime is the duration of a poll of a worker. Polls are long polls, so it
	// includes the time that the worker holds its answer back until a run ends. The metric's
	// name calls a poll a look.
	WorkerPollTime Timer = "worker_look_seconds"
	// StepTime is the duration of one step of the daemon, which makes the decisions due
	// and carries them out.
	StepTime Timer = "step_seconds"
)

var (
	// counters doesn't contain Results, which has a counter for each result code.
	counters = []Counter{Appends, AppendedBytes, ReadBytes, LogErrors, CorruptRecords, PeerErrors, Orders, OrderErrors, Starts, Evictions,
		RequestsServed, RequestsUnknown, RequestsInvalid, RequestsRefused, RequestsUnclear, OrdersUnclear, WorkerPolls, Terms, WorkerCrashes, RunsLost, TasksGivenUp,
		RefusedSlowAppends, RefusedSlowStarts, OddEntries}
	gauges = []Gauge{OwnedShards, RunningTasks, WaitingTasks, ConfigOffset, ReadyGauge, InFlight, Leading, QueuedJobs, ActiveJobs, SilentWorkers, LongRunningWaiting, UndeletedDeposits, ProcessDelay, ConfigVersion,
		WaitingForRoom, LongestWait, RoomReservations, FragmentedCores, FragmentedMemory, FragmentedGPUs, ForecastRatio, ForecastLate}
	// tenantGauges and TenantRefused have series for each tenant.
	tenantGauges = []Gauge{TenantRunning, TenantWaiting, TenantShare}
	timers       = []Timer{CheckTime, OrderTime, AppendTime, RequestTime, FirstStartTime, WorkerPollTime, StepTime}
)
