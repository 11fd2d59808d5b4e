package dispatcher

import "galenawharf.example/galenawharf/coder"

// errSilent is an attempt whose connection shows no progress while others do.
var errSilent = coder.New(coder.Unknown, "the connection to the executor went silent")

// Reasons of refusals.
const (
	noExecutor   = "the service has no executor"
	shuttingDown = "the daemon is shutting down"
)
