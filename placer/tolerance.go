package placer

const (
	// saturation is the processor utilization of a replica, slowdown included, at which
	// its requests start to queue.
	saturation = 0.9
	// minToleranceShare is the fraction of a declared tolerance that is left at any
	// utilization.
	minToleranceShare = 0.1
	// utilizationWeight is the weight of a new sample in the moving average of the
	// utilization.
	utilizationWeight = 0.05
)

// toleratedSlowdown returns the slowdown at which the services of a class still meet
// their latency target at their current utilization. The busier a replica is, the less
// slowdown it takes until its requests queue.
func (p *Placer) toleratedSlowdown(class int, tolerance float64) float64 {
	use := p.utilization[class]
	if use <= 0 {
		return tolerance
	}
	return max(min(tolerance, saturation/use-1), tolerance*minToleranceShare)
}

// recordUtilization updates the moving average of a class with the utilization of one
// replica.
func (p *Placer) recordUtilization(class int, use float64) {
	if p.utilization[class] == 0 {
		p.utilization[class] = use
		return
	}
	p.utilization[class] += utilizationWeight * (use - p.utilization[class])
}
