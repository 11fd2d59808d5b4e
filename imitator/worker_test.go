package imitator

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

// startOrder returns an order to start the first incarnation of a task of shard "s".
func startOrder(sequence int64, task string, leaseUntil int64) provider.StartOrder {
	return provider.StartOrder{
		Fence:       provider.Fence{Shard: "s", Epoch: 1, Sequence: sequence},
		Incarnation: provider.Incarnation{Task: task, Number: 1},
		Size:        sizer.DocumentOf(sizer.New(1000, 1, 0)),
		Boot:        "0",
		LeaseUntil:  leaseUntil,
		StartBy:     leaseUntil,
		RunTime:     int64(clock.Minute),
	}
}

// TestWorkerLeaseAndFencing checks that a worker refuses orders with a stale fencing
// token, that a task ends when its lease expires, that an order takes effect though its
// response is lost, and that starts over the capacity are counted.
func TestWorkerLeaseAndFencing(t *testing.T) {
	ctx := context.Background()
	c := clock.NewManual(1000)
	w := NewWorker(sizer.New(1000, 10, 0), c.Now, AsDeclared)
	p := WorkersOf(func(string) *Worker { return w })

	_, err := p.Start(ctx, "", startOrder(1, "a", 5000))
	must.NoError(t, err)
	_, err = p.Start(ctx, "", startOrder(1, "b", 5000))
	must.Eq(t, coder.Fenced, coder.Of(err))
	must.Eq(t, 0, w.Overcommits())
	_, err = p.Start(ctx, "", startOrder(2, "b", 5000))
	must.NoError(t, err)
	must.Eq(t, 1, w.Overcommits())

	c.Advance(4000)
	_, err = p.Extend(ctx, "", provider.ExtendOrder{Fence: provider.Fence{Shard: "s", Epoch: 1, Sequence: 3}, Boot: "0", Tasks: []provider.Incarnation{{Task: "a", Number: 1}}, LeaseUntil: 100_000})
	must.NoError(t, err)
	c.Advance(2000)
	names, _ := w.Running()
	must.Eq(t, []provider.Incarnation{{Task: "a", Number: 1}}, names)

	w.SetFaults(WorkerFaults{LoseAnswers: 1})
	_, err = p.Stop(ctx, "", provider.TaskOrder{Fence: provider.Fence{Shard: "s", Epoch: 1, Sequence: 4}, Incarnation: names[0]})
	must.Eq(t, coder.Internal, coder.Of(err))
	inv, err := p.Inventory(ctx, "", provider.Fence{Shard: "s", Epoch: 2})
	must.NoError(t, err)
	must.Len(t, 2, inv.Tasks)
	must.Eq(t, provider.PhaseStopped, inv.Tasks[0].Phase)
	must.Eq(t, "ran-6000", inv.Tasks[0].Checkpoint)
	must.Eq(t, provider.PhaseLapsed, inv.Tasks[1].Phase)
	_, err = p.Start(ctx, "", startOrder(99, "c", 100_000))
	must.Eq(t, coder.Fenced, coder.Of(err))
}
