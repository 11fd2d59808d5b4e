package keeper

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// OrderKind is the call that an Order makes.
	OrderKind int

	// Order is a call to a worker. The caller passes its Result to Keeper.ApplyResult, however
	// late it is.
	Order struct {
		kind    OrderKind
		worker  string
		address string
		sent    clock.Millis
		fence   provider.Fence
		start   provider.StartOrder
		lease   provider.ExtendOrder
		task    provider.TaskOrder
		// since is a reading of the worker's clock, in milliseconds, from which on an
		// OrderUsage requests samples.
		since int64
	}

	// Result is the result of an order: the worker's answer or an error.
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

// Kind returns the call that the order makes.
func (o *Order) Kind() OrderKind { return o.kind }

// Worker returns the name of the worker.
func (o *Order) Worker() string { return o.worker }

// Address returns the address of the worker.
func (o *Order) Address() string { return o.address }

// Incarnation returns the run that the order is about, or the zero value if it isn't about
// a single run.
func (o *Order) Incarnation() provider.Incarnation {
	if o.kind == OrderStart {
		return o.start.Incarnation
	}
	return o.task.Incarnation
}

// Do makes the call and returns its result.
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

// Order returns the order that the result belongs to.
func (r Result) Order() *Order { return r.order }

// Err returns the error of the call, or nil.
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
