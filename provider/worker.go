package provider

import (
	"context"
	"strconv"

	"galenawharf.example/galenawharf/sizer"
)

type (
	// Fence orders what owners ask of a worker. A worker refuses an order
	// whose fence is not above the highest that it has seen for the shard.
	Fence struct {
		Shard string `json:"shard"`
		// Epoch is the offset of the owner's claim.
		Epoch int64 `json:"epoch"`
		// Sequence counts the orders of one epoch.
		Sequence int64 `json:"sequence"`
	}

	// Stamp is a reading of a worker's own clock. Readings of one boot can be
	// compared, readings of two can't; the rate may be off by RateMargin.
	Stamp struct {
		Boot string `json:"boot"`
		// Reading is in milliseconds since the boot.
		Reading int64 `json:"reading"`
	}

	// Incarnation names one run of a task.
	Incarnation struct {
		Task string `json:"task"`
		// Number counts the runs of the task from 1.
		Number int64 `json:"number"`
	}

	// StartOrder asks a worker to run a task under a lease.
	StartOrder struct {
		Fence       Fence          `json:"fence"`
		Incarnation Incarnation    `json:"incarnation"`
		Size        sizer.Document `json:"size"`
		Class       string         `json:"class"`
		// Boot is the boot that LeaseUntil is meant for.
		Boot string `json:"boot"`
		// LeaseUntil is the end of the lease by the worker's clock; an order
		// that arrives later is refused.
		LeaseUntil int64 `json:"lease-until"`
		// StartBy is the latest that the task may begin by the worker's
		// clock; an order that arrives later is refused.
		StartBy int64 `json:"start-by"`
		// Checkpoint is the state to resume from; empty to begin.
		Checkpoint string `json:"checkpoint,omitempty"`
		Payload    []byte `json:"payload,omitempty"`
		// RunTime is the declared run time in milliseconds, 0 for standing
		// work.
		RunTime int64 `json:"run-time"`
	}

	// LeaseOrder moves the end of leases by the worker's clock.
	LeaseOrder struct {
		Fence      Fence         `json:"fence"`
		Boot       string        `json:"boot"`
		Tasks      []Incarnation `json:"tasks"`
		LeaseUntil int64         `json:"lease-until"`
	}

	// TaskOrder asks something of one running task.
	TaskOrder struct {
		Fence       Fence       `json:"fence"`
		Incarnation Incarnation `json:"incarnation"`
		// Permille is the share of its processors that a throttled task may
		// use, 1000 for all.
		Permille int `json:"permille,omitempty"`
	}

	// Reply is what a worker answers to any order.
	Reply struct {
		Stamp Stamp `json:"stamp"`
		// Checkpoint is the state that a checkpoint or stop saved.
		Checkpoint string `json:"checkpoint,omitempty"`
		// Ended is the number of the shard's tasks that have ended and were
		// not forgotten.
		Ended int `json:"ended,omitempty"`
		// Reports are those of some of them.
		Reports []TaskReport `json:"reports,omitempty"`
	}

	// TaskPhase is where a task on a worker is in its life.
	TaskPhase string

	// TaskReport is what a worker knows of one task.
	TaskReport struct {
		Shard       string         `json:"shard"`
		Incarnation Incarnation    `json:"incarnation"`
		Size        sizer.Document `json:"size"`
		Phase       TaskPhase      `json:"phase"`
		// LeaseUntil is the end of the lease by the worker's clock.
		LeaseUntil int64  `json:"lease-until"`
		Checkpoint string `json:"checkpoint,omitempty"`
		Answer     []byte `json:"answer,omitempty"`
		// RanFor is how long it ran, in milliseconds.
		RanFor int64 `json:"ran-for"`
	}

	// Inventory is every task of a shard that a worker runs, or has ended and
	// not been told to forget.
	Inventory struct {
		Stamp Stamp        `json:"stamp"`
		Tasks []TaskReport `json:"tasks"`
	}

	// UsageSample is what a task used in a span of time that lies back.
	UsageSample struct {
		Incarnation Incarnation `json:"incarnation"`
		// From and Until are by the worker's clock.
		From  int64 `json:"from"`
		Until int64 `json:"until"`
		// Millicores and Memory are means over the span.
		Millicores int64 `json:"millicores"`
		Memory     int64 `json:"memory"`
		// Progress is the useful work done, in thousandths of what the task
		// would have done alone on the host.
		Progress int64 `json:"progress"`
	}

	// UsageReport is the usage that a worker has gathered.
	UsageReport struct {
		Stamp   Stamp         `json:"stamp"`
		Samples []UsageSample `json:"samples"`
	}

	// Workers carries orders to workers by their address. An error with one
	// of the codes Fenced, LeaseLapsed, NotRun and NotFound means that the worker
	// did not carry out the order and will not; after any other error it may have.
	Workers struct {
		Start      func(ctx context.Context, address string, o StartOrder) (Reply, error)
		Extend     func(ctx context.Context, address string, o LeaseOrder) (Reply, error)
		Checkpoint func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		Throttle   func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		// Stop ends a task after a checkpoint; the answer confirms the end.
		Stop func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		// Forget drops the report of a task that has ended.
		Forget func(ctx context.Context, address string, o TaskOrder) (Reply, error)
		// Inventory raises the worker's fence and lists the shard's tasks.
		Inventory func(ctx context.Context, address string, f Fence) (Inventory, error)
		// Usage gives the samples of a shard's tasks since a reading.
		Usage func(ctx context.Context, address, shard string, since int64) (UsageReport, error)
	}
)

// Phases of a task on a worker.
const (
	PhaseRunning   TaskPhase = "running"
	PhaseSucceeded TaskPhase = "succeeded"
	PhaseFailed    TaskPhase = "failed"
	PhaseStopped   TaskPhase = "stopped"
	// PhaseLapsed is a task that the worker ended since its lease ran out.
	PhaseLapsed TaskPhase = "lapsed"
)

// RateMarginPermille is how far the rate of a worker's clock may be from a
// daemon's, in thousandths.
const RateMarginPermille = 10

// Compare orders fences: negative where f is below g.
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

// String gives the incarnation as "billing/3#2".
func (i Incarnation) String() string { return i.Task + "#" + strconv.FormatInt(i.Number, 10) }
