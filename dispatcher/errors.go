package dispatcher

// Reasons of answers with a result code other than OK, where several places return them.
const (
	noExecutor   = "the service has no executor"
	shuttingDown = "the daemon is shutting down"
)
