package placer

type (
	// Mechanism is a part of the placement decisions that can be switched off by itself,
	// to measure what it contributes.
	Mechanism uint

	// Mechanisms is a set of mechanisms.
	Mechanisms uint
)

const (
	// Interference places tasks by the learnt interference between classes.
	Interference Mechanism = 1 << iota
	// Throttling throttles and evicts batch tasks that slow services beyond their
	// tolerance.
	Throttling
	// Estimates grants learnt sizes and uses learnt run times instead of declared ones.
	Estimates
	// Quarantine keeps tasks off failing workers and delays or parks failing jobs.
	Quarantine
	// Fairness orders waiting tasks by tier, priority band and share of the quota, and
	// enforces the quotas.
	Fairness
	// JobOrder orders the tasks of a team that have the same tier and priority band by the
	// remaining work of their submission, least first.
	JobOrder
	// Reserve keeps batch tasks off a part of each worker, for urgent work.
	Reserve
	// Preemption evicts batch tasks if urgent work finds no room.
	Preemption
	// Spread keeps replicas of a service apart (anti-affinity).
	Spread
	// Holding holds a worker for a large task that has waited long.
	Holding

	allMechanisms = Mechanisms(1<<iota - 1)
)

// mechanismNames lists the names of the mechanisms in order of their bits.
var mechanismNames = []string{
	"interference", "throttling", "estimates", "quarantine", "fairness",
	"job-order", "reserve", "preemption", "spread", "holding",
}

// String returns the name in kebab case, or "none" for an unknown mechanism.
func (m Mechanism) String() string {
	for i, n := range mechanismNames {
		if m == 1<<i {
			return n
		}
	}
	return "none"
}

func (s Mechanisms) has(m Mechanism) bool { return uint(s)&uint(m) != 0 }
