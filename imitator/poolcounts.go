package imitator

// PoolCounts are the numbers of what happened to the workers of a Pool.
type PoolCounts struct {
	// Starts are runs that were started, AckedEnds ends that were acknowledged.
	Starts, AckedEnds int
	// StaleAcks are polls that acknowledged more ends than their worker had listed, like
	// one that is meant for a former process.
	StaleAcks int
	// CappedLeases are leases that were shortened to the maximum, like one that was computed
	// on the clock of a former process.
	CappedLeases int
	// Restarts are processes that replaced a killed one.
	Restarts int
}

// Counts returns what has happened so far.
func (p *Pool) Counts() PoolCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}
