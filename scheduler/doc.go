// Package scheduler decides which task runs on which worker. It is a pure state
// machine: it is told what callers ask and what workers report, and it returns
// job records to store and orders to send. It does no input or output, so every
// decision can be tested without a network.
//
// A run is one attempt of a task on one worker. What keeps a task from running
// twice: an order is sent only after the record that names its worker and attempt
// is stored; an end is acknowledged only after it is stored; a run whose order
// was not answered keeps its worker until a report from that worker, or the end of
// the worker's lease, settles it.
package scheduler
