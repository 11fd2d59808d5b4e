package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

type (
	// sensitivity learns how much fillers disturb the serving tasks of one image. The
	// headroom of a task is its objective in multiples of its tail latency. It falls in
	// proportion to the load on the task: that of its own users, which its baseline
	// follows, and for each image of fillers its weight times the share of the worker's
	// processors that they use. The weights are followed by a Kalman filter.
	sensitivity struct {
		// index of each filler image.
		index map[string]int
		// weights and their covariance.
		weights    []float64
		covariance [][]float64
		// evidence is the sum of the shares seen of each filler image.
		evidence []float64
		// tried is when a filler of each image was last placed although too little was
		// known of it.
		tried map[string]clock.Millis
	}
)

const (
	// harmlessWeight is the weight assumed of an image that was not seen yet: what any
	// work on the same worker costs.
	harmlessWeight = 1.0
	// priorVariance says how far a weight may be from that: disturbing pairs have
	// weights of 5 to 25.
	priorVariance = 25.0
	// weightDrift is the variance that a weight gains with each reading.
	weightDrift = 0.001
	// readingNoise is the deviation of a reading, as a share of the headroom: the gauge
	// is rough and counts whole milliseconds.
	readingNoise = 0.12
	// evidenceNeeded is the sum of shares before a weight counts: ten readings
	// beside a filler that uses a twentieth of its worker.
	evidenceNeeded = 0.5
	// harmfulWeight is the weight from which a pair of images counts as harmful.
	// Weights of other pairs were below 3 in all fits.
	harmfulWeight = 4.0
	// unknownWeight is assumed of a pair of which too little is known while another
	// filler tries it out, which takes exploreFor.
	unknownWeight = 10.0
	exploreFor    = 600 * clock.Millis(1)
)

func newSensitivity() *sensitivity {
	return &sensitivity{index: map[string]int{}, tried: map[string]clock.Millis{}}
}

// position returns the index of a filler image, which it adds if it is new.
func (m *sensitivity) position(image string) int {
	if i, ok := m.index[image]; ok {
		return i
	}
	i := len(m.weights)
	m.index[image] = i
	m.weights = append(m.weights, harmlessWeight)
	m.evidence = append(m.evidence, 0)
	for r := range m.covariance {
		m.covariance[r] = append(m.covariance[r], 0)
	}
	row := make([]float64, i+1)
	row[i] = priorVariance
	m.covariance = append(m.covariance, row)
	return i
}

// learn takes in a headroom that was read beside fillers that used the given shares.
// The step of the task learns from it too.
func (m *sensitivity) learn(b *baseline, at clock.Millis, headroom float64, shares map[string]float64) {
	for image := range shares {
		m.position(image)
	}
	n := len(m.weights)
	x := make([]float64, n)
	taken := 0.0
	for image, share := range shares {
		i := m.index[image]
		x[i] = share
		taken += m.weights[i] * share
		m.evidence[i] += share
		m.covariance[i][i] = math.Min(m.covariance[i][i]+weightDrift, priorVariance)
	}
	px := make([]float64, n)
	spread := 0.0
	for i := range n {
		for j := range n {
			px[i] += m.covariance[i][j] * x[j]
		}
		spread += x[i] * px[i]
	}
	noise := readingNoise * headroom
	noise *= noise
	miss := headroom + taken - b.expect(at)
	sum := discount(miss, noise+b.variance(at)+spread)
	for i := range n {
		m.weights[i] -= px[i] / sum * miss
		for j := range n {
			m.covariance[i][j] -= px[i] * px[j] / sum
		}
	}
	b.learn(at, headroom+taken, noise+spread)
}

// weight returns the fall of the headroom for a filler image that used a whole worker.
func (m *sensitivity) weight(image string) float64 {
	i, ok := m.index[image]
	if !ok || m.evidence[i] < evidenceNeeded {
		return harmlessWeight
	}
	return math.Max(m.weights[i], 0)
}

// known reports whether enough was seen of a filler image.
func (m *sensitivity) known(image string) bool {
	i, ok := m.index[image]
	return ok && m.evidence[i] >= evidenceNeeded
}

// expect returns the weight to reckon with before a filler is placed.
func (m *sensitivity) expect(image string, now clock.Millis) float64 {
	if t, ok := m.tried[image]; ok && now-t < exploreFor && !m.known(image) {
		return unknownWeight
	}
	return m.weight(image)
}

// harmful reports whether fillers of an image lower the headroom markedly.
func (m *sensitivity) harmful(image string) bool { return m.weight(image) >= harmfulWeight }

// fall returns by how much fillers of the given shares lower the headroom.
func (m *sensitivity) fall(shares map[string]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += m.weight(image) * share
	}
	return sum
}
