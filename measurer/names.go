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
	// StepTime is how long one step of the decision core takes.
	StepTime Timer = "step_seconds"
)

var (
	counters = []Counter{Appends, AppendedBytes, ReadBytes, LogErrors, CorruptRecords, PeerErrors, Orders, OrderErrors, Starts, Evictions}
	gauges   = []Gauge{OwnedShards, RunningTasks, WaitingTasks, ConfigOffset, ReadyGauge, InFlight}
	timers   = []Timer{CheckTime, OrderTime, AppendTime, StepTime}
)
