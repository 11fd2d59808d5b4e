package dispatcher

// Reasons of refusals.
const (
	noExecutor   = "the service has no executor"
	shuttingDown = "the daemon is shutting down"
)
