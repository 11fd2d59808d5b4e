package dispatcher

type (
	// Stats are counts for the status page and for metrics.
	Stats struct {
		inFlight  int64
		waiting   int64
		answered  int64
		refused   int64
		unknown   int64
		retries   int64
		hedges    int64
		executors []ExecutorStats
	}

	// ExecutorStats is how one executor stands.
	ExecutorStats struct {
		address  string
		service  string
		state    string
		inFlight int
		share    int
	}
)

// InFlight gives the number of requests that have no answer yet.
func (s Stats) InFlight() int64 { return s.inFlight }

// Waiting gives how many of them wait for an executor.
func (s Stats) Waiting() int64 { return s.waiting }

// Answered gives the number of requests that were answered in full.
func (s Stats) Answered() int64 { return s.answered }

// Refused gives the number of requests that were not run.
func (s Stats) Refused() int64 { return s.refused }

// Unknown gives the number of requests that may have run and got no answer.
func (s Stats) Unknown() int64 { return s.unknown }

// Retries gives the number of attempts after a failed one.
func (s Stats) Retries() int64 { return s.retries }

// Hedges gives the number of attempts beside one that was slow.
func (s Stats) Hedges() int64 { return s.hedges }

// Executors gives how each executor stands, by address.
func (s Stats) Executors() []ExecutorStats { return s.executors }

// Address gives where the executor is reached.
func (s ExecutorStats) Address() string { return s.address }

// Service gives the service that it serves.
func (s ExecutorStats) Service() string { return s.service }

// State gives its state in a word: "healthy", "ejected", "probing" or "leaving".
func (s ExecutorStats) State() string { return s.state }

// InFlight gives the attempts of this entry host at the executor.
func (s ExecutorStats) InFlight() int { return s.inFlight }

// Share gives how many of its slots this entry host may use.
func (s ExecutorStats) Share() int { return s.share }
