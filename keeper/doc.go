// Package keeper manages the tasks of one shard: it decides which worker runs a waiting
// task, grants leases, follows each run and records its result.
//
// A Keeper is driven by a single goroutine. All input arrives through its methods, and
// Step returns everything that it wants done:
//
//	Register.Apply      every record of the stream "intents", once per daemon
//	Keeper.ApplyIntent  the resulting Verdict, passed to every keeper of the daemon
//	Keeper.ApplyEvent   every valid record of the shard in the stream "dc/<name>"
//	Keeper.SetConfig    the declared configuration
//	Keeper.SetHosts     the shard's workers
//	Keeper.Step         time and authority in; log records, worker orders and events out
//	Keeper.Done         the result of an order
//	Keeper.Outcome      the state or result of the work under a key
//
// Without authority a Keeper only replays the log, so that its state is current when the
// shard is taken over. A decision takes effect when its record has been read back from
// the log and passed to ApplyEvent. The caller retries an append until it has read back
// the ID of the record; a duplicate record has no effect.
//
// # Invariants
//
// The leases on a worker never exceed its capacity in total. A lease counts from the
// decision until the worker has reported the end of the task or the lease has certainly
// expired.
//
// A start order for exclusive or batch work is sent only after its STARTING record was
// read back under the keeper's epoch, and its lease ends before the keeper's authority
// does.
//
// A new incarnation is recorded only after the end of the previous one.
package keeper
