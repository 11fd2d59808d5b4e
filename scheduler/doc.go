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
// the objective is violated. The models predict the headroom: a baseline what it would be
// without fillers, and a sensitivity how much each filler image lowers it. Fillers that
// would violate an objective are slowed: their pace is the share of their full speed at
// which they may run.
//
// One host of the deployment, the leader, runs the scheduler. A new leader continues from
// the stored records of the former one. Jobs that are submitted while no leader can be
// reached are deposited in the store, and the next leader accepts them from there.
//
// Some queues have a policy: an external service that decides which workers may run a
// step. A consultation is a request to it, and a ticket is its permission for one worker.
//
// A tenant is a team with a cap on what it may have running. All of its runs count that may
// be active: those of the newest attempts, and stale runs, which a worker may have although
// they are not, or no longer, the newest of their tasks. Both are stored until they are known
// to be over, so that a new leader counts at least what the former one did.
//
// A reservation keeps the room of a worker for a task. Long-running tasks that fit nowhere get one for
// a round of placing. Other tasks that fit nowhere get one after a while, which lasts until they start;
// it is not stored. A run is backfilled if it starts beside a reservation without delaying its holder.
//
// Upkeep is the maintenance of a worker's machine, which is down meanwhile. A wave is the
// upkeep of a set of machines that an operator has requested.
package scheduler
