// Package scheduler decides which task runs on which worker. It is a pure state machine:
// its input is the requests of callers and the reports of workers, its output job records
// to store and orders to send. It does no I/O, so every decision can be tested without a
// network.
//
// A run is one attempt of a task on one worker. Three rules keep a task from running
// twice: an order to start a run is sent only after the record that names its worker and
// attempt is stored; an ended run is acknowledged only after its result is stored; and a
// run whose order was not answered keeps its worker until a report from that worker, or
// the expiry of the worker's lease, shows what became of it.
//
// Serving tasks are latency-critical: they have an objective for their tail latency.
// Filler tasks are best-effort batch work that shares the processors of serving tasks.
// The headroom of a serving task is its objective divided by its tail latency; below 1
// the objective is violated.
package scheduler
