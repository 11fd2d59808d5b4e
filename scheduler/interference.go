package scheduler

import (
	"cmp"
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

const (
	// settleTime is how long no filler may have left a worker before its gauges are
	// learnt from: the half second that they cover.
	settleTime = 500 * clock.Millis(1)
	// comfortableHeadroom is what a new filler leaves to the serving tasks beside it: the
	// load of their users may rise further while it runs.
	comfortableHeadroom = 1.5
	// placeAhead is the time for which that is reckoned: the run time of the users'
	// fillers.
	placeAhead = 2000 * clock.Millis(1)
	// pacedHeadroom is what fillers at work leave: the objective, and a margin for the
	// errors of the model.
	pacedHeadroom = 1.2
	// paceAhead is how long a pace has to do: until the next one takes effect.
	paceAhead = 700 * clock.Millis(1)
	// leastUse bounds the use of a filler below, as a share of what it is declared to
	// use: what it was last seen to use may be a pause.
	leastUse = 0.5
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
	for _, t := range w.tasks {
		if t.spec().Filler && t.state != done {
			shares[t.spec().Image] += t.fullShare(w) * float64(t.pace) / 100
		}
	}
	return shares
}

// fullShare returns the share of the worker's processors that a filler uses at full
// speed.
func (t *task) fullShare(w *worker) float64 {
	use := t.use
	if use == 0 {
		use = 1
	}
	return use * float64(t.spec().CPU) / float64(max(w.info.CPU, 1))
}

// used takes in the processor use that a filler was seen to have. A pace that was just
// set may not show in it.
func (t *task) used(now clock.Millis) {
	if t.load > 0 && t.pacedCPU() > 0 && now-t.pacedAt > settleTime {
		t.use = min(max(float64(t.load)/float64(t.pacedCPU()), leastUse), 1)
	}
}

// measuredShares returns what the fillers were last seen to use.
func (w *worker) measuredShares() map[string]float64 {
	shares := map[string]float64{}
	total := float64(max(w.info.CPU, 1))
	for _, t := range w.tasks {
		if t.spec().Filler && t.state == running {
			shares[t.spec().Image] += float64(t.load) / total
		}
	}
	return shares
}

// disturbance returns by how much a filler of a step would take the serving tasks of a
// worker below a comfortable headroom, as a share of that, summed over the tasks.
func (s *Scheduler) disturbance(step *Step, w *worker) float64 {
	if w.serving == 0 {
		return 0
	}
	now := s.now()
	share := float64(step.CPU) / float64(max(w.info.CPU, 1))
	sum := 0.0
	groups := s.servingGroups(w)
	for i := range groups {
		g := &groups[i]
		weight := g.model.expect(step.Image, now)
		if weight < harmfulWeight {
			continue
		}
		fall := weight * share
		if g.at != now {
			g.at, g.ahead = now, g.baseline.least(now, now+placeAhead)
		}
		after := g.ahead - g.fall - fall
		sum += float64(g.tasks) * math.Min(fall, math.Max(0, comfortableHeadroom-after))
	}
	return sum / comfortableHeadroom
}

// servingGroups returns the serving tasks of a worker by step.
func (s *Scheduler) servingGroups(w *worker) []servingGroup {
	if w.grouped {
		return w.groups
	}
	w.groups, w.grouped, w.overdue = w.groups[:0], true, false
	shares := w.fillerShares()
	for _, t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		w.overdue = w.overdue || t.over != 0
		b := s.baselineOf(t)
		i := slices.IndexFunc(w.groups, func(g servingGroup) bool { return g.baseline == b })
		if i < 0 {
			m := s.sensitivityOf(t.spec().Image)
			w.groups = append(w.groups, servingGroup{model: m, baseline: b, fall: m.fall(shares)})
			i = len(w.groups) - 1
		}
		w.groups[i].tasks++
	}
	return w.groups
}

// learn takes in the tails that a worker has just reported, unless a filler has left
// within the time that the gauges cover.
func (s *Scheduler) learn(w *worker) {
	now := s.now()
	for _, t := range w.tasks {
		if t.spec().Filler && t.state == running {
			t.used(now)
		}
	}
	w.grouped = false
	if w.serving == 0 || now-w.fillerLeftAt < settleTime {
		return
	}
	shares := w.measuredShares()
	for _, t := range w.tasks {
		if t.spec().Objective == 0 || t.state != running || t.percent != 100 || t.tail <= 0 || now-t.learntAt < gaugeAge {
			continue
		}
		t.learntAt = now
		headroom := math.Min(float64(t.spec().Objective)/float64(t.tail), idleHeadroom)
		s.sensitivityOf(t.spec().Image).learn(s.baselineOf(t), now-gaugeAge, headroom, shares)
	}
}

// paces returns the fillers of a worker and for each the pace, in percent, at which the
// serving tasks beside them keep their headroom until the next change. Those that
// disturb most for the work they do are slowed first.
func (s *Scheduler) paces(w *worker) ([]*task, map[*task]int) {
	now := s.now()
	fillers := make([]*task, 0, len(w.tasks))
	paces := map[*task]int{}
	for _, t := range w.tasks {
		if t.spec().Filler && t.state != done {
			fillers = append(fillers, t)
			paces[t] = 100
		}
	}
	for _, g := range s.servingGroups(w) {
		excess := pacedHeadroom - g.baseline.least(now, now+paceAhead)
		for _, t := range fillers {
			excess += g.model.weight(t.spec().Image) * t.fullShare(w)
		}
		if excess <= 0 {
			continue
		}
		slices.SortStableFunc(fillers, func(a, b *task) int {
			return cmp.Compare(g.model.weight(b.spec().Image), g.model.weight(a.spec().Image))
		})
		for _, t := range fillers {
			fall := g.model.weight(t.spec().Image) * t.fullShare(w)
			if excess <= 0 || fall <= 0 {
				break
			}
			cut := math.Min(fall, excess)
			paces[t] = min(paces[t], int(100*(1-cut/fall)))
			excess -= cut
		}
	}
	return fillers, paces
}

// explore notes that a filler is about to show how it disturbs the tasks of a worker.
func (s *Scheduler) explore(step *Step, w *worker) {
	if !step.Filler || w.serving == 0 {
		return
	}
	for _, t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		if m := s.sensitivityOf(t.spec().Image); !m.known(step.Image) {
			m.tried[step.Image] = s.now()
		}
	}
}
