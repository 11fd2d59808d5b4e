package dispatcher

import (
	"slices"
	"strings"

	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/router"
)

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

// Stats gives counts, and how each executor stands.
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
