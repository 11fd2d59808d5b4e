package placer

type (
	// Mechanism is a part of the decisions that can be switched off by itself,
	// so that its worth can be measured.
	Mechanism uint

	// Mechanisms is a set of them.
	Mechanisms uint
)

// The mechanisms.
const (
	// Interference places by what is learnt of how classes disturb each other.
	Interference Mechanism = 1 << iota
	// Throttling relieves services that are disturbed by throttling and
	// evicting batch tasks.
	Throttling
	// Estimates grants sizes and expects run times as learnt per job.
	Estimates
	// Quarantine holds back failing workers and jobs.
	Quarantine
	// Fairness orders waiting work by tier, urgency and share of the quota.
	Fairness
	// JobOrder prefers the job with the least work left among equals.
	JobOrder
	// Reserve keeps room free of batch tasks for urgent work.
	Reserve
	// Preemption evicts batch tasks for urgent work that finds no room.
	Preemption
	// Spread keeps replicas of a service apart.
	Spread
	// Holding keeps a worker for a large task that waits for long.
	Holding

	allMechanisms = Mechanisms(1<<iota - 1)
)

// mechanismNames are those of all mechanisms, in order.
var mechanismNames = []string{
	"interference", "throttling", "estimates", "quarantine", "fairness",
	"job-order", "reserve", "preemption", "spread", "holding",
}

// String gives the name in kebab case.
func (m Mechanism) String() string {
	for i, n := range mechanismNames {
		if m == 1<<i {
			return n
		}
	}
	return "none"
}

func (s Mechanisms) has(m Mechanism) bool { return uint(s)&uint(m) != 0 }
