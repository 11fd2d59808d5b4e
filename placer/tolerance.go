package placer

const (
	// fullUse is the part of a replica's processors in use, slowdown included,
	// from which on requests queue.
	fullUse = 0.9
	// leastBorne is the part of a tolerance that is left at any use.
	leastBorne = 0.1
	// useStep is what a sample counts in the mean use.
	useStep = 0.05
)

// bears gives the slowdown that the services of a class hold their latency
// target with at their present use: a replica that is busier has less room
// before its requests queue.
func (p *Placer) bears(class int, tolerance float64) float64 {
	use := p.uses[class]
	if use <= 0 {
		return tolerance
	}
	return max(min(tolerance, fullUse/use-1), tolerance*leastBorne)
}

// noteUse takes the use of one replica into the mean of its class.
func (p *Placer) noteUse(class int, use float64) {
	if p.uses[class] == 0 {
		p.uses[class] = use
		return
	}
	p.uses[class] += useStep * (use - p.uses[class])
}
