package scheduler

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/pkg/errors"

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

// servingGroup is the serving tasks of one image on a worker.
type servingGroup struct {
	model *sensitivity
	tasks int
	// tail is the highest expected tail of them, as a logarithm.
	tail float64
}

var comfortableLog = math.Log(comfortableTail)

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
	// settleTime is how long the fillers of a worker must be unchanged before its
	// gauges are learnt from: the half second that they cover.
	settleTime = 500 * clock.Millis(1)
	// comfortableTail is the share of the objective up to which fillers may raise a
	// tail; the load of the serving tasks themselves swings by half.
	comfortableTail = 0.5
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

// sensitivityOf returns the model of a serving image.
func (s *Scheduler) sensitivityOf(image string) *sensitivity {
	m := s.images[image]
	if m == nil {
		m = newSensitivity()
		s.images[image] = m
	}
	return m
}

// fillerShares returns the shares of a worker's processors that fillers are to use
// at their pace, by image.
func (w *worker) fillerShares() map[string]float64 {
	shares := map[string]float64{}
	total := float64(max(w.info.CPU, 1))
	for t := range w.tasks {
		if t.spec().Filler && t.state != done {
			shares[t.spec().Image] += float64(t.spec().CPU) / total * float64(t.pace) / 100
		}
	}
	return shares
}

// measuredShares returns what the fillers were last seen to use.
func (w *worker) measuredShares() map[string]float64 {
	shares := map[string]float64{}
	total := float64(max(w.info.CPU, 1))
	for t := range w.tasks {
		if t.spec().Filler && t.state == running {
			shares[t.spec().Image] += float64(t.load) / total
		}
	}
	return shares
}

// disturbance returns by how much a filler of a step would push the tails of the
// serving tasks of a worker beyond the comfortable share of their objective, summed
// over those tasks, as a logarithm.
func (s *Scheduler) disturbance(step *Step, w *worker) float64 {
	if w.serving == 0 {
		return 0
	}
	share := float64(step.CPU) / float64(max(w.info.CPU, 1))
	sum := 0.0
	for _, g := range s.servingGroups(w) {
		weight := g.model.expect(step.Image, s.now())
		if weight < harmfulWeight {
			continue
		}
		rise := weight * share
		sum += float64(g.tasks) * math.Min(rise, math.Max(0, g.tail+rise-comfortableLog))
	}
	return sum
}

// servingGroups returns the serving tasks of a worker by image.
func (s *Scheduler) servingGroups(w *worker) []servingGroup {
	if w.grouped {
		return w.groups
	}
	w.groups, w.grouped, w.overdue = w.groups[:0], true, false
	shares := w.fillerShares()
	for t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		w.overdue = w.overdue || t.over != 0
		m := s.sensitivityOf(t.spec().Image)
		i := slices.IndexFunc(w.groups, func(g servingGroup) bool { return g.model == m })
		if i < 0 {
			w.groups = append(w.groups, servingGroup{model: m, tail: math.Inf(-1)})
			i = len(w.groups) - 1
		}
		w.groups[i].tasks++
		w.groups[i].tail = max(w.groups[i].tail, m.predict(shares)+t.excess)
	}
	return w.groups
}

// learn takes in the tails that a worker has just reported, unless its fillers have
// changed within the time that the gauges cover.
func (s *Scheduler) learn(w *worker) {
	if w.serving == 0 || s.now()-w.mixedAt < settleTime {
		return
	}
	shares := w.measuredShares()
	for t := range w.tasks {
		if t.spec().Objective > 0 && t.state == running && t.percent == 100 && t.tail > 0 {
			m := s.sensitivityOf(t.spec().Image)
			tail := float64(t.tail) / float64(t.spec().Objective)
			miss := math.Log(math.Min(tail, tailCap)) - m.predict(shares)
			t.follow(miss)
			m.learn(tail, shares)
		}
	}
}

// slowdown returns the share of its speed that a filler may have, in percent, so that
// the tails beside it stay comfortable: 100 unless it is known to do harm.
func (s *Scheduler) slowdown(t *task, w *worker, shares map[string]float64) int {
	allowed := 100
	for o := range w.tasks {
		if o.spec().Objective == 0 {
			continue
		}
		m := s.sensitivityOf(o.spec().Image)
		if !m.harmful(t.spec().Image) {
			continue
		}
		own := shares[t.spec().Image]
		rise := m.weight(t.spec().Image) * own
		room := comfortableLog - (m.predict(shares) + o.excess - rise)
		if rise > room {
			allowed = min(allowed, max(0, int(float64(t.pace)*room/rise)))
		}
	}
	return allowed
}

const (
	// excessWeight is the weight of the newest reading in the excess of a task: its
	// load swings in some ten seconds, and readings come twice a second.
	excessWeight = 0.3
	// excessLimit bounds the excess, so that a stall does not stop fillers for long.
	excessLimit = 0.7
)

// follow takes in by how much the logarithm of the tail of a serving task was above
// what its image and the fillers beside it explain: its own load.
func (t *task) follow(miss float64) {
	t.excess += excessWeight * (max(-excessLimit, min(miss, excessLimit)) - t.excess)
}

type (
	// modelRecord is what is stored of a sensitivity.
	modelRecord struct {
		Base     float64            `json:"base"`
		Weights  map[string]float64 `json:"weights"`
		Evidence map[string]float64 `json:"evidence"`
	}
)

const (
	// modelKey is where the models are stored, for the next leader.
	modelKey = "interference"
	// modelEvery is how often they are: what a leader has learnt within it is lost
	// with the leader.
	modelEvery = 2 * clock.Second
	// inheritedVariance lets a next leader correct what it has taken over.
	inheritedVariance = 1.0
)

// encodeModels returns the stored form of all models.
func (s *Scheduler) encodeModels() ([]byte, error) {
	out := map[string]modelRecord{}
	for image, m := range s.images {
		r := modelRecord{Base: m.weights[0], Weights: map[string]float64{}, Evidence: map[string]float64{}}
		for filler, i := range m.index {
			r.Weights[filler], r.Evidence[filler] = m.weights[i], m.evidence[i]
		}
		out[image] = r
	}
	b, err := json.Marshal(out)
	return b, errors.Wrap(err, "scheduler.encodeModels")
}

// loadModels takes over the models of a former leader.
func (s *Scheduler) loadModels(b []byte) error {
	var in map[string]modelRecord
	if err := json.Unmarshal(b, &in); err != nil {
		return errors.Wrap(err, "scheduler.loadModels")
	}
	for image, r := range in {
		m := s.sensitivityOf(image)
		m.weights[0] = r.Base
		for filler, w := range r.Weights {
			i := m.position(filler)
			m.weights[i], m.evidence[i] = w, r.Evidence[filler]
			m.covariance[i][i] = inheritedVariance
		}
	}
	return nil
}

// explore notes that a filler is about to show how it disturbs the tasks of a worker.
func (s *Scheduler) explore(step *Step, w *worker) {
	if !step.Filler || w.serving == 0 {
		return
	}
	for t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		if m := s.sensitivityOf(t.spec().Image); !m.known(step.Image) {
			m.tried[step.Image] = s.now()
		}
	}
}
