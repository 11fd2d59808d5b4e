// Package keeper has the lives of the tasks of one shard: what waits, what was
// granted to which worker, under which lease, and what became of it.
//
// A Keeper is driven by one goroutine. It learns of the world only through its
// methods, and acts only through what Step gives back:
//
//	register.Apply      every record of the stream "intents", once a daemon
//	Keeper.ApplyIntent  the verdict of each, to every keeper of the daemon
//	Keeper.ApplyEvent   every valid record of the shard in "dc/<name>"
//	Keeper.SetConfig    the declarations in force
//	Keeper.SetHosts     the shard's workers
//	Keeper.Step         now and authority in; records, orders and events out
//	Keeper.Done         the result of an order
//	Keeper.Outcome      what became of a key
//
// Without authority a keeper only follows the log, so that a takeover finds it
// warm. A decision counts when its record was read back through ApplyEvent:
// whoever carries out appends tries again until it saw the record's id, and a
// record that is there twice does no harm.
//
// # Invariants
//
// The sizes of all leases on a worker, from the decision until the worker said
// or time made certain that the task ended, are at most its capacity.
//
// An order to start exclusive or batch work leaves only after its STARTING
// record was read back under the keeper's epoch, and its lease ends before the
// authority.
//
// The next incarnation is recorded only after the end of the one before was.
package keeper
