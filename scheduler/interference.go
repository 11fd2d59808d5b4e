package scheduler

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
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
	// settleTime is how long the fillers of a worker must be unchanged before its
	// gauges are learnt from: the half second that they cover.
	settleTime = 500 * clock.Millis(1)
	// comfortableTail is the share of the objective up to which fillers may raise a
	// tail; the load of the serving tasks themselves swings by half.
	comfortableTail = 0.5
	// excessWeight is the weight of the newest reading in the excess of a task: its
	// load swings in some ten seconds, and readings come twice a second.
	excessWeight = 0.3
	// excessLimit bounds the excess, so that a stall does not stop fillers for long.
	excessLimit = 0.7
)

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

// follow takes in by how much the logarithm of the tail of a serving task was above
// what its image and the fillers beside it explain: its own load.
func (t *task) follow(miss float64) {
	t.excess += excessWeight * (max(-excessLimit, min(miss, excessLimit)) - t.excess)
}
