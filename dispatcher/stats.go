package dispatcher

import (
	"slices"
	"strings"

	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/router"
)

type (
	// Stats is a snapshot of counters and of the state of each executor.
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

	// ExecutorStats is the state of one executor.
	ExecutorStats struct {
		address  string
		service  string
		state    string
		inFlight int
		share    int
	}
)

// InFlight returns the number of requests without an answer, queued ones included.
func (s Stats) InFlight() int64 { return s.inFlight }

// Waiting returns the number of requests queued for an executor.
func (s Stats) Waiting() int64 { return s.waiting }

// Answered returns the number of requests answered with result code OK.
func (s Stats) Answered() int64 { return s.answered }

// Refused returns the number of requests that were rejected without being run.
func (s Stats) Refused() int64 { return s.refused }

// Unknown returns the number of requests that may have run and got no complete answer.
func (s Stats) Unknown() int64 { return s.unknown }

// Retries returns the number of retries scheduled after a failed attempt.
func (s Stats) Retries() int64 { return s.retries }

// Hedges returns the number of hedges.
func (s Stats) Hedges() int64 { return s.hedges }

// Executors returns the executors, sorted by address.
func (s Stats) Executors() []ExecutorStats { return s.executors }

// Address returns the network address of the executor.
func (s ExecutorStats) Address() string { return s.address }

// Service returns the service that the executor runs.
func (s ExecutorStats) Service() string { return s.service }

// State returns "healthy", "ejected", "probing" or "leaving".
func (s ExecutorStats) State() string { return s.state }

// InFlight returns the attempts of this entry host in flight at the executor.
func (s ExecutorStats) InFlight() int { return s.inFlight }

// Share returns the slots of the executor that this entry host may use.
func (s ExecutorStats) Share() int { return s.share }

// Stats returns the current counters and executor states.
func (d *Dispatcher) Stats() Stats {
	s := Stats{
		inFlight: d.inFlight.Load(),
		answered: d.counts.answered.Load(),
		refused:  d.counts.refused.Load(),
		unknown:  d.counts.unknown.Load(),
		retries:  d.counts.retries.Load(),
		hedges:   d.counts.hedges.Load(),
	}
	for _, r := range d.snapshot.Load().routes {
		s.waiting += r.waiting.Load()
		for _, t := range r.pool.Targets() {
			s.executors = append(s.executors, statsOf(t))
		}
	}
	slices.SortFunc(s.executors, func(a, b ExecutorStats) int { return strings.Compare(a.address, b.address) })
	return s
}

func statsOf(t *router.Target) ExecutorStats {
	h := t.Host()
	return ExecutorStats{address: h.Address, service: h.Service, state: stateOf(t), inFlight: t.InFlight(), share: t.Share()}
}

func stateOf(t *router.Target) string {
	switch {
	case t.Leaving():
		return "leaving"
	case t.Mode() == router.Closed:
		return ejector.Ejected
	case t.Mode() == router.Probing:
		return ejector.Probing
	}
	return ejector.Healthy
}
