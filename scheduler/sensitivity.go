package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

type (
	// sensitivity models how much fillers interfere with the serving tasks of one image.
	// The headroom of a task falls linearly with the load: that of its own users, which
	// its baseline predicts, and for each filler image its weight times the share of the
	// worker's processors that it uses. A Kalman filter estimates the weights.
	sensitivity struct {
		// index is the index of each filler image in weights, covariance and evidence.
		index map[string]int
		// weights are the losses of headroom per whole worker used, with the covariance
		// of their errors.
		weights    []float64
		covariance [][]float64
		// evidence is the sum of the observed processor shares of each filler image.
		evidence []float64
		// exploredAt is when a filler was last placed beside a serving task of this
		// image, for each filler image that had not enough evidence then.
		exploredAt map[string]clock.Millis
	}
)

const (
	// defaultWeight is the weight of an image without enough evidence: the loss that any
	// work on the same worker causes.
	defaultWeight = 1.0
	// priorVariance is the variance of a new weight. Harmful pairs of a serving and a
	// filler image have weights of 5 to 25.
	priorVariance = 25.0
	// weightDrift is the process noise of a weight for each reading.
	weightDrift = 0.001
	// readingNoise is the standard deviation of a reading as a share of the headroom:
	// tail latencies are noisy and reported in whole milliseconds.
	readingNoise = 0.12
	// minEvidence is the evidence from which a weight is used: ten readings beside a
	// filler that uses a twentieth of its worker.
	minEvidence = 0.5
	// harmfulWeight is the weight from which a pair of images counts as harmful. Weights
	// of other pairs were below 3 in all fits.
	harmfulWeight = 4.0
	// exploringWeight is the weight that is assumed for placing, for a pair without
	// enough evidence, in the explorationTime after a filler of the image was placed,
	// while that filler is being observed.
	exploringWeight = 10.0
	explorationTime = 600 * clock.Millis(1)
)

func newSensitivity() *sensitivity {
	return &sensitivity{index: map[string]int{}, exploredAt: map[string]clock.Millis{}}
}

// indexOf returns the index of a filler image, which it adds if it is new.
func (m *sensitivity) indexOf(image string) int {
	if i, ok := m.index[image]; ok {
		return i
	}
	i := len(m.weights)
	m.index[image] = i
	m.weights = append(m.weights, defaultWeight)
	m.evidence = append(m.evidence, 0)
	for r := range m.covariance {
		m.covariance[r] = append(m.covariance[r], 0)
	}
	row := make([]float64, i+1)
	row[i] = priorVariance
	m.covariance = append(m.covariance, row)
	return i
}

// update applies a measured headroom of a serving task and the processor shares of the
// fillers on its worker. It updates the baseline of the task's step too.
func (m *sensitivity) update(b *baseline, at clock.Millis, headroom float64, shares map[string]float64) {
	for image := range shares {
		m.indexOf(image)
	}
	n := len(m.weights)
	x := make([]float64, n)
	loss := 0.0
	for image, share := range shares {
		i := m.index[image]
		x[i] = share
		loss += m.weights[i] * share
		m.evidence[i] += share
		m.covariance[i][i] = math.Min(m.covariance[i][i]+weightDrift, priorVariance)
	}
	gains := make([]float64, n)
	weightVariance := 0.0
	for i := range n {
		for j := range n {
			gains[i] += m.covariance[i][j] * x[j]
		}
		weightVariance += x[i] * gains[i]
	}
	noise := readingNoise * headroom
	noise *= noise
	residual := headroom + loss - b.predict(at)
	innovationVariance := robustVariance(residual, noise+b.variance(at)+weightVariance)
	for i := range n {
		m.weights[i] -= gains[i] / innovationVariance * residual
		for j := range n {
			m.covariance[i][j] -= gains[i] * gains[j] / innovationVariance
		}
	}
	b.update(at, headroom+loss, noise+weightVariance)
}

// weight returns the loss of headroom that fillers of an image cause when they use all
// processors of a worker; headroomLoss scales it by the share that they use.
func (m *sensitivity) weight(image string) float64 {
	i, ok := m.index[image]
	if !ok || m.evidence[i] < minEvidence {
		return defaultWeight
	}
	return math.Max(m.weights[i], 0)
}

// hasEvidence reports whether the weight of a filler image is based on enough readings.
func (m *sensitivity) hasEvidence(image string) bool {
	i, ok := m.index[image]
	return ok && m.evidence[i] >= minEvidence
}

// placementWeight returns the weight to assume before a filler is placed.
func (m *sensitivity) placementWeight(image string, now clock.Millis) float64 {
	if t, ok := m.exploredAt[image]; ok && now-t < explorationTime && !m.hasEvidence(image) {
		return exploringWeight
	}
	return m.weight(image)
}

// harmful reports whether fillers of an image lower the headroom significantly.
func (m *sensitivity) harmful(image string) bool { return m.weight(image) >= harmfulWeight }

// headroomLoss returns the loss of headroom caused by fillers with the given shares.
func (m *sensitivity) headroomLoss(shares map[string]float64) float64 {
	sum := 0.0
	for image, share := range shares {
		sum += m.weight(image) * share
	}
	return sum
}
