package scheduler

import "math"

type (
	// sensitivity learns how much fillers disturb the serving tasks of one image. It
	// is a linear model of the tail latency, in multiples of the objective, over the
	// processor share that the fillers of each image use on the same worker, fitted
	// by recursive least squares.
	sensitivity struct {
		// index of each filler image; 0 is the tail without fillers.
		index map[string]int
		// weights and covariance of the model.
		weights    []float64
		covariance [][]float64
		// evidence is the sum of the shares seen of each filler image.
		evidence []float64
	}

	// sample is one reading of a tail with the fillers beside it.
	sample struct {
		// tail is in multiples of the objective.
		tail float64
		// shares are those of the worker's processors by filler image.
		shares map[string]float64
	}
)

const (
	// baseTail is the tail assumed of an image without readings: the users state
	// objectives of 4.5 times the tail of an idle task, and load raises it.
	baseTail = 0.45
	// priorVariance lets ten readings outweigh the assumption of no harm.
	priorVariance = 10.0
	// forgetting is the weight of a reading after the next one; disturbance changes
	// within seconds, at two readings a second from each of some dozen workers.
	forgetting = 0.998
	// maxVariance bounds the covariance of images that are seen no more.
	maxVariance = 50.0
	// tailCap bounds a reading, so that one stall does not outweigh all others.
	tailCap = 3.0
	// evidenceNeeded is the sum of shares before a weight counts: twenty readings
	// beside a filler that uses a twentieth of its worker.
	evidenceNeeded = 1.0
	// harmfulWeight is the rise of the tail, for a filler that used a whole worker,
	// from which a pair of images counts as harmful.
	harmfulWeight = 0.8
)

func newSensitivity() *sensitivity {
	return &sensitivity{index: map[string]int{}, weights: []float64{baseTail}, covariance: [][]float64{{1}}, evidence: []float64{0}}
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

// learn takes in a reading.
func (m *sensitivity) learn(s sample) {
	for image := range s.shares {
		m.position(image)
	}
	n := len(m.weights)
	x := make([]float64, n)
	x[0] = 1
	predicted := m.weights[0]
	for image, share := range s.shares {
		i := m.index[image]
		x[i] = share
		predicted += m.weights[i] * share
		m.evidence[i] += share
	}
	px := make([]float64, n)
	denominator := forgetting
	for i := range n {
		for j := range n {
			px[i] += m.covariance[i][j] * x[j]
		}
		denominator += x[i] * px[i]
	}
	miss := math.Min(s.tail, tailCap) - predicted
	for i := range n {
		m.weights[i] += px[i] / denominator * miss
		for j := range n {
			m.covariance[i][j] = math.Min((m.covariance[i][j]-px[i]*px[j]/denominator)/forgetting, maxVariance)
		}
	}
}

// weight returns the rise of the tail for a filler image that used a whole worker; 0
// while too little was seen of it.
func (m *sensitivity) weight(image string) float64 {
	i, ok := m.index[image]
	if !ok || m.evidence[i] < evidenceNeeded {
		return 0
	}
	return math.Max(m.weights[i], 0)
}

// harmful reports whether fillers of an image raise the tail markedly.
func (m *sensitivity) harmful(image string) bool { return m.weight(image) >= harmfulWeight }

// predict returns the tail, in multiples of the objective, beside fillers.
func (m *sensitivity) predict(shares map[string]float64) float64 {
	tail := math.Max(m.weights[0], 0)
	for image, share := range shares {
		tail += m.weight(image) * share
	}
	return tail
}

// sensitivityOf returns the model of a serving image.
func (s *Scheduler) sensitivityOf(image string) *sensitivity {
	m := s.images[image]
	if m == nil {
		m = newSensitivity()
		s.images[image] = m
	}
	return m
}

// fillerShares returns the shares of a worker's processors that fillers use, by
// image.
func (w *worker) fillerShares() map[string]float64 {
	shares := map[string]float64{}
	total := float64(max(w.info.CPU, 1))
	for t := range w.tasks {
		if t.spec().Filler && t.state == running {
			shares[t.spec().Image] += float64(t.spec().CPU) / total * float64(t.pace) / 100
		}
	}
	return shares
}

// disturbance returns how far a filler of a step would push the serving tasks of a
// worker beyond the comfortable share of their objective, summed over those tasks.
func (s *Scheduler) disturbance(step *Step, w *worker) float64 {
	if w.serving == 0 {
		return 0
	}
	share := float64(step.CPU) / float64(max(w.info.CPU, 1))
	sum := 0.0
	var shares map[string]float64
	for t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		m := s.sensitivityOf(t.spec().Image)
		if !m.harmful(step.Image) {
			continue
		}
		if shares == nil {
			shares = w.fillerShares()
		}
		rise := m.weight(step.Image) * share
		sum += math.Min(rise, math.Max(0, m.predict(shares)+rise-comfortableTail))
	}
	return sum
}

// comfortableTail is the share of the objective below which a tail may rise; the
// load of the serving tasks themselves swings by half.
const comfortableTail = 0.7

// learn takes in the tails that a worker has just reported.
func (s *Scheduler) learn(w *worker) {
	if w.serving == 0 {
		return
	}
	shares := w.fillerShares()
	for t := range w.tasks {
		if t.spec().Objective > 0 && t.state == running && t.percent == 100 && t.tail > 0 {
			s.sensitivityOf(t.spec().Image).learn(sample{tail: float64(t.tail) / float64(t.spec().Objective), shares: shares})
		}
	}
}
