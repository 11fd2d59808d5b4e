package keeper

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// OrderKind is what an order asks of a worker.
	OrderKind int

	// Order is a call to a worker. Whoever carries it out gives the Result
	// back to the keeper, however late.
	Order struct {
		kind    OrderKind
		worker  string
		address string
		sent    clock.Millis
		fence   provider.Fence
		start   provider.StartOrder
		lease   provider.LeaseOrder
		task    provider.TaskOrder
		since   int64
	}

	// Result is what came of an order.
	Result struct {
		order     *Order
		reply     provider.Reply
		inventory provider.Inventory
		usage     provider.UsageReport
		err       error
	}
)

// Kinds of orders.
const (
	OrderInventory OrderKind = iota
	OrderStart
	OrderExtend
	OrderCheckpoint
	OrderThrottle
	OrderStop
	OrderForget
	OrderUsage
)

// Kind gives what is asked.
func (o *Order) Kind() OrderKind { return o.kind }

// Worker gives the name of the worker.
func (o *Order) Worker() string { return o.worker }

// Address gives the address of the worker.
func (o *Order) Address() string { return o.address }

// Incarnation gives the run that a start or an order about one task is for.
func (o *Order) Incarnation() provider.Incarnation {
	if o.kind == OrderStart {
		return o.start.Incarnation
	}
	return o.task.Incarnation
}

// Do carries the order out and gives its result.
func (o *Order) Do(ctx context.Context, w provider.Workers) Result {
	r := Result{order: o}
	switch o.kind {
	case OrderInventory:
		r.inventory, r.err = w.Inventory(ctx, o.address, o.fence)
	case OrderStart:
		r.reply, r.err = w.Start(ctx, o.address, o.start)
	case OrderExtend:
		r.reply, r.err = w.Extend(ctx, o.address, o.lease)
	case OrderCheckpoint:
		r.reply, r.err = w.Checkpoint(ctx, o.address, o.task)
	case OrderThrottle:
		r.reply, r.err = w.Throttle(ctx, o.address, o.task)
	case OrderStop:
		r.reply, r.err = w.Stop(ctx, o.address, o.task)
	case OrderForget:
		r.reply, r.err = w.Forget(ctx, o.address, o.task)
	case OrderUsage:
		r.usage, r.err = w.Usage(ctx, o.address, o.fence.Shard, o.since)
	}
	return r
}

// Order gives the order that the result is of.
func (r Result) Order() *Order { return r.order }

// Err gives why the order has no answer, or nil.
func (r Result) Err() error { return r.err }

func (r Result) stamp() provider.Stamp {
	switch r.order.kind {
	case OrderInventory:
		return r.inventory.Stamp
	case OrderUsage:
		return r.usage.Stamp
	}
	return r.reply.Stamp
}
