// Package keeper manages the tasks of one shard: it decides which worker runs a waiting
// task, grants leases, follows each run and records its result.
//
// The tasks of a shard are its submissions and service replicas. A submission
// (schema.Intent) is identified by its key, which is also the ID of its task; keepers
// themselves submit the watch jobs. Each run of a task is an incarnation, numbered from 1,
// and has a lease: the worker ends the run when the worker's own clock reaches the end of
// the lease, unless the lease is extended.
//
// The daemon that has claimed a shard is its owner. The offset of the claim in the data
// centre's stream is the epoch, and the owner acts for the shard only while its Authority
// holds.
//
// Waiting tasks can move to another shard, for example when their data centre is drained.
// A unit is what moves as a whole: a task, or all tasks with the same exclusive key, of
// which only one runs at a time. Each move of a unit is a hop.
//
// A Keeper is driven by a single goroutine. All input arrives through its methods, and
// Step returns the actions to carry out:
//
//	Register.Apply      every record of the stream "intents" (submissions, cancellations
//	                    and moves of units), once per daemon
//	Keeper.ApplyIntent  the resulting Verdict, passed to every keeper of the daemon
//	Keeper.ApplyEvent   every valid record of the shard in the data centre's stream,
//	                    "dc/<name>"
//	Keeper.SetConfig    the declared configuration
//	Keeper.SetHosts     the shard's workers
//	Keeper.Step         takes the time and the authority, returns log records, orders to
//	                    workers and events
//	Keeper.ApplyResult  the result of an order
//	Keeper.Outcome      returns the state or result of the task with a key
//
// Without authority a Keeper only replays the log, so that its state is current when the
// shard is taken over. A decision takes effect when its record has been read back from
// the log and passed to ApplyEvent; only service replicas start before that. The caller
// appends a record again until it has read a record with its ID from the log; a duplicate
// record has no effect.
//
// # Invariants
//
// The leases on a worker never exceed its capacity in total. A lease counts from the
// decision until the run has certainly ended: the worker has reported its end or no longer
// lists it, or the lease has certainly expired.
//
// A start order for exclusive or batch work is sent only after its STARTING record was
// read back under the keeper's epoch, and its lease ends before the keeper's authority
// does.
//
// A new incarnation is recorded only after the end of the previous one.
package keeper
