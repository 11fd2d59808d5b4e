package provider

import (
	"context"
	"strconv"

	"galenawharf.example/galenawharf/sizer"
)

type (
	// Fence is the fencing token of an order to a worker. A worker refuses an order
	// unless its fence is higher than every fence that it has seen for the shard, so a
	// former owner of the shard can't give orders any more.
	Fence struct {
		Shard string `json:"shard"`
		// Epoch is the log offset of the record with which the owner claimed the shard.
		Epoch int64 `json:"epoch"`
		// Sequence numbers the orders within an epoch.
		Sequence int64 `json:"sequence"`
	}

	// Stamp is a reading of a worker's own clock. Only readings with the same Boot can be
	// compared. The rate of the clock may be off by RateMarginPermille.
	Stamp struct {
		// Boot identifies the boot of the worker; it changes with each restart.
		Boot string `json:"boot"`
		// Reading is in milliseconds since the boot.
		Reading int64 `json:"reading"`
	}

	// Incarnation identifies one run of a task.
	Incarnation struct {
		Task string `json:"task"`
		// Number is the number of the run, beginning with 1.
		Number int64 `json:"number"`
	}

	// StartOrder is an order to a worker to run a task under a lease.
	StartOrder struct {
		Fence       Fence          `json:"fence"`
		Incarnation Incarnation    `json:"incarnation"`
		Size        sizer.Document `json:"size"`
		Class       string         `json:"class"`
		// Boot is the Stamp.Boot that the readings LeaseUntil and StartBy belong to.
		Boot string `json:"boot"`
		// LeaseUntil is the lease expiry on the worker's clock. The worker refuses an
		// order that arrives later.
		LeaseUntil int64 `json:"lease-until"`
		// StartBy is the latest time on the worker's clock at which the task may start.
		// The worker refuses an order that arrives later.
		StartBy int64 `json:"start-by"`
		// Checkpoint is the saved state to resume from; empty for a first run.
		Checkpoint string `json:"checkpoint,omitempty"`
		Payload    []byte `json:"payload,omitempty"`
		// RunTime is the declared run time in milliseconds, 0 for work that runs until
		// it is stopped.
		RunTime int64 `json:"run-time"`
	}

	// ExtendOrder extends the leases of tasks to LeaseUntil on the worker's clock.
	ExtendOrder struct {
		Fence      Fence         `json:"fence"`
		Boot       string        `json:"boot"`
		Tasks      []Incarnation `json:"tasks"`
		LeaseUntil int64         `json:"lease-until"`
	}

	// TaskOrder is an order that concerns one task: checkpoint, throttle, stop or forget.
	TaskOrder struct {
		Fence       Fence       `json:"fence"`
		Incarnation Incarnation `json:"incarnation"`
		// Permille is the share of its processors that a throttled task may use, in
		// thousandths; 1000 removes the limit.
		Permille int `json:"permille,omitempty"`
	}

	// Reply is a worker's reply to an order.
	Reply struct {
		Stamp Stamp `json:"stamp"`
		// Checkpoint is the state saved by a checkpoint or stop order.
		Checkpoint string `json:"checkpoint,omitempty"`
		// Ended is the number of the shard's ended tasks for which the worker has not yet
		// got a forget order.
		Ended int `json:"ended,omitempty"`
		// Reports are the worker's reports on some of these ended tasks.
		Reports []TaskReport `json:"reports,omitempty"`
	}

	// TaskPhase is the state of a task on a worker.
	TaskPhase string

	// TaskReport is a worker's report on one task.
	TaskReport struct {
		Shard       string         `json:"shard"`
		Incarnation Incarnation    `json:"incarnation"`
		Size        sizer.Document `json:"size"`
		Phase       TaskPhase      `json:"phase"`
		// LeaseUntil is the lease expiry on the worker's clock.
		LeaseUntil int64  `json:"lease-until"`
		Checkpoint string `json:"checkpoint,omitempty"`
		Answer     []byte `json:"answer,omitempty"`
		// RanFor is the time that the task has run, in milliseconds.
		RanFor int64 `json:"ran-for"`
	}

	// Inventory lists the tasks of a shard on a worker: the running tasks, and the ended
	// tasks for which the worker has not yet got a forget order.
	Inventory struct {
		Stamp Stamp        `json:"stamp"`
		Tasks []TaskReport `json:"tasks"`
	}

	// UsageSample is the resource usage of a task in a past interval.
	UsageSample struct {
		Incarnation Incarnation `json:"incarnation"`
		// From and Until are readings of the worker's clock in milliseconds.
		From  int64 `json:"from"`
		Until int64 `json:"until"`
		// Millicores and Memory, in bytes, are the averages over the interval.
		Millicores int64 `json:"millicores"`
		Memory     int64 `json:"memory"`
		// Progress is the useful work done, in thousandths of what the task would have
		// done in the interval if it had the host to itself.
		Progress int64 `json:"progress"`
	}

	// UsageReport holds the usage samples that a worker has recorded.
	UsageReport struct {
		Stamp   Stamp         `json:"stamp"`
		Samples []UsageSample `json:"samples"`
	}

	// Workers sends orders to workers by address. An error with the code Fenced,
	// LeaseLapsed, NotRun or NotFound means that the worker did not execute the order and
	// never will; after any other error it may have.
	Workers struct {
		Start      func(ctx context.Context, address string, o StartOrder) (Reply, error)
		Extend     func(ctx context.Context, address string, o ExtendOrder) (Reply, error)
		Checkpoint func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		Throttle   func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		// Stop checkpoints a task and ends it; a reply confirms that it has ended.
		Stop func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		// Forget deletes the worker's report on a task that has ended.
		Forget func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		// Inventory returns the shard's tasks. It also raises the worker's highest fence
		// to f, so that orders of former owners are refused from then on.
		Inventory func(ctx context.Context, address string, f Fence) (Inventory, error)
		// Usage returns the samples of a shard's tasks since a reading of the worker's
		// clock.
		Usage func(ctx context.Context, address, shard string, since int64) (UsageReport, error)
	}
)

// Phases of a task on a worker.
const (
	PhaseRunning   TaskPhase = "running"
	PhaseSucceeded TaskPhase = "succeeded"
	PhaseFailed    TaskPhase = "failed"
	PhaseStopped   TaskPhase = "stopped"
	// PhaseLapsed is a task that the worker ended because its lease expired.
	PhaseLapsed TaskPhase = "lapsed"
)

// RateMarginPermille is the largest assumed difference between the rates of a worker's
// and a daemon's clock, in thousandths. Computations of lease expiry allow for it.
const RateMarginPermille = 10

// Compare compares fences by epoch, then by sequence: it returns -1 if f is lower than g,
// 1 if it is higher, and 0 if they are equal. The shards are not compared.
func (f Fence) Compare(g Fence) int {
	if f.Epoch != g.Epoch {
		return sign(f.Epoch - g.Epoch)
	}
	return sign(f.Sequence - g.Sequence)
}

func sign(n int64) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

// String returns the task and the number of the run, such as "billing/3#2".
func (i Incarnation) String() string { return i.Task + "#" + strconv.FormatInt(i.Number, 10) }
