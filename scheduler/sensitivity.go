package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

type (
	// sensitivity learns how much fillers disturb the serving tasks of one image. It
	// is a linear model of the logarithm of the tail latency, in multiples of the
	// objective, over the share of the worker's processors that the fillers of each
	// image use, fitted by recursive least squares.
	sensitivity struct {
		// index of each filler image; 0 is the tail without fillers.
		index map[string]int
		// weights and covariance of the model.
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
	// baseTail is the tail assumed of an image without readings: the users state
	// objectives of 4.5 times the tail of an idle task, and load raises it.
	baseTail = 0.45
	// baseVariance and priorVariance say how far the logarithm of the tail and the
	// weights may be from what is assumed; disturbing pairs have weights of 4 to 10.
	baseVariance  = 0.1
	priorVariance = 20.0
	// noise is the variance of a reading; the gauge is rough and load swings.
	noise = 0.15
	// forgetting is the weight of a reading after the next one; disturbance changes
	// within seconds, at two readings a second from each of some dozen workers.
	forgetting = 0.998
	// maxVariance bounds the covariance of images that are seen no more.
	maxVariance = 50.0
	// tailCap bounds a reading, so that one stall does not outweigh all others.
	tailCap = 8.0
	// evidenceNeeded is the sum of shares before a weight counts: ten readings
	// beside a filler that uses a twentieth of its worker.
	evidenceNeeded = 0.5
	// harmfulWeight is the weight from which a pair of images counts as harmful.
	// Weights of other pairs were below 1.5 in all fits.
	harmfulWeight = 2.0
	// unknownWeight is assumed of a pair of which too little is known while another
	// filler tries it out, which takes exploreFor.
	unknownWeight = 4.0
	exploreFor    = 600 * clock.Millis(1)
)

func newSensitivity() *sensitivity {
	return &sensitivity{index: map[string]int{}, weights: []float64{math.Log(baseTail)}, covariance: [][]float64{{baseVariance}}, evidence: []float64{0}, tried: map[string]clock.Millis{}}
}

// position returns the index of a filler image, which it adds if it is new.
func (m *sensitivity) position(image string) int {
	if i, ok := m.index[image]; ok {
		return i
	}
	i := len(m.weights)
	m.index[image] = i
	m.weights = append(m.weights, 0)
	m.evidence = append(m.evidence, 0)
	for r := range m.covariance {
		m.covariance[r] = append(m.covariance[r], 0)
	}
	row := make([]float64, i+1)
	row[i] = priorVariance
	m.covariance = append(m.covariance, row)
	return i
}

// learn takes in a tail, in multiples of the objective, read beside fillers that use
// the given shares.
func (m *sensitivity) learn(tail float64, shares map[string]float64) {
	for image := range shares {
		m.position(image)
	}
	n := len(m.weights)
	x := make([]float64, n)
	x[0] = 1
	predicted := m.weights[0]
	for image, share := range shares {
		i := m.index[image]
		x[i] = share
		predicted += m.weights[i] * share
		m.evidence[i] += share
	}
	px := make([]float64, n)
	denominator := forgetting * noise
	for i := range n {
		for j := range n {
			px[i] += m.covariance[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	miss := math.Log(math.Min(tail, tailCap)) - predicted
	for i := range n {
		m.weights[i] += px[i] / denominator * miss
		for j := range n {
			m.covariance[i][j] = math.Min((m.covariance[i][j]-px[i]*px[j]/denominator)/forgetting, maxVariance)
		}
	}
}

// weight returns the rise of the logarithm of the tail for a filler image that used a
// whole worker; 0 while too little was seen of it.
func (m *sensitivity) weight(image string) float64 {
	i, ok := m.index[image]
	if !ok || m.evidence[i] < evidenceNeeded {
		return 0
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

// harmful reports whether fillers of an image raise the tail markedly.
func (m *sensitivity) harmful(image string) bool { return m.weight(image) >= harmfulWeight }

// predict returns the logarithm of the tail beside fillers.
func (m *sensitivity) predict(shares map[string]float64) float64 {
	tail := m.weights[0]
	for image, share := range shares {
		tail += m.weight(image) * share
	}
	return tail
}
