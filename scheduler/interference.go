package scheduler

import (
	"cmp"
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

const (
	// settleTime is how long tail latencies are ignored after a filler has left a worker,
	// and the use of a filler after its pace has changed: readings cover half a second.
	settleTime = 500 * clock.Millis(1)
	// placementHeadroom is the headroom that the serving tasks on a worker should keep
	// after a filler was placed there. It is higher than pacingHeadroom because the user
	// load may rise while the filler runs.
	placementHeadroom = 1.5
	// placementHorizon is how far ahead the headroom is predicted for placing: the run
	// time of the customers' fillers.
	placementHorizon = 2000 * clock.Millis(1)
	// pacingHeadroom is the headroom that the paces of running fillers leave to the
	// serving tasks: the objective, which is 1, plus a margin for model errors.
	pacingHeadroom = 1.2
	// pacingHorizon is how far ahead the headroom is predicted for pacing: the time until
	// the next pace takes effect.
	pacingHorizon = 700 * clock.Millis(1)
	// minFillerUse is the least processor use that is assumed of a filler, as a share of
	// its declared use: the last reading may be from a pause in its work.
	minFillerUse = 0.5
)

// sensitivityOf returns the sensitivity of a serving image, which it creates on first
// use.
func (s *Scheduler) sensitivityOf(image string) *sensitivity {
	m := s.sensitivities[image]
	if m == nil {
		m = newSensitivity()
		s.sensitivities[image] = m
	}
	return m
}

// pacedFillerShares returns the shares of a worker's processors that its fillers may use
// at their current pace, by image.
func (w *worker) pacedFillerShares() map[string]float64 {
	shares := map[string]float64{}
	for _, t := range w.tasks {
		if t.spec().Filler && t.state != done {
			shares[t.spec().Image] += t.fullSpeedShare(w) * float64(t.pace) / 100
		}
	}
	return shares
}

// fullSpeedShare returns the share of the worker's processors that a filler uses at full
// speed.
func (t *task) fullSpeedShare(w *worker) float64 {
	use := t.fullSpeedUse
	if use == 0 {
		use = 1
	}
	return use * float64(t.spec().CPU) / float64(max(w.info.CPU, 1))
}

// updateUse updates the full-speed use of a filler from its reported use. Reports shortly
// after a change of its pace are skipped, as they may cover the former pace.
func (t *task) updateUse(now clock.Millis) {
	if t.cpuUse > 0 && t.pacedCPU() > 0 && now-t.pacedAt > settleTime {
		t.fullSpeedUse = min(max(float64(t.cpuUse)/float64(t.pacedCPU()), minFillerUse), 1)
	}
}

// measuredFillerShares returns the shares of a worker's processors that its fillers last
// reported, by image.
func (w *worker) measuredFillerShares() map[string]float64 {
	shares := map[string]float64{}
	total := float64(max(w.info.CPU, 1))
	for _, t := range w.tasks {
		if t.spec().Filler && t.state == running {
			shares[t.spec().Image] += float64(t.cpuUse) / total
		}
	}
	return shares
}

// interference returns how much a filler of a step would disturb the serving tasks of a
// worker. For each of these tasks it is the headroom that the filler would take from it
// below placementHeadroom; the sum is divided by placementHeadroom. Images with a weight
// below harmfulWeight are ignored.
func (s *Scheduler) interference(step *Step, w *worker) float64 {
	if w.serving == 0 {
		return 0
	}
	now := s.now()
	share := float64(step.CPU) / float64(max(w.info.CPU, 1))
	sum := 0.0
	groups := s.servingGroups(w)
	for i := range groups {
		g := &groups[i]
		weight := g.sensitivity.placementWeight(step.Image, now)
		if weight < harmfulWeight {
			continue
		}
		loss := weight * share
		if g.predictedAt != now {
			g.predictedAt, g.predictedHeadroom = now, g.baseline.lowerOf(now, now+placementHorizon)
		}
		after := g.predictedHeadroom - g.headroomLoss - loss
		sum += float64(g.taskCount) * math.Min(loss, math.Max(0, placementHeadroom-after))
	}
	return sum / placementHeadroom
}

// servingGroups returns the serving tasks of a worker grouped by step. The result is
// cached until the worker's tasks or paces change or the worker reports.
func (s *Scheduler) servingGroups(w *worker) []servingGroup {
	if w.groupsValid {
		return w.groups
	}
	w.groups, w.groupsValid, w.overObjective = w.groups[:0], true, false
	shares := w.pacedFillerShares()
	for _, t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		w.overObjective = w.overObjective || t.overSince != 0
		b := s.baselineOf(t)
		i := slices.IndexFunc(w.groups, func(g servingGroup) bool { return g.baseline == b })
		if i < 0 {
			m := s.sensitivityOf(t.spec().Image)
			w.groups = append(w.groups, servingGroup{sensitivity: m, baseline: b, headroomLoss: m.headroomLoss(shares)})
			i = len(w.groups) - 1
		}
		w.groups[i].taskCount++
	}
	return w.groups
}

// updateModels updates the models from the last report of a worker. Its tail latencies
// are skipped if a filler has left within the time that they cover.
func (s *Scheduler) updateModels(w *worker) {
	now := s.now()
	for _, t := range w.tasks {
		if t.spec().Filler && t.state == running {
			t.updateUse(now)
		}
	}
	w.groupsValid = false
	if w.serving == 0 || now-w.fillerLeftAt < settleTime {
		return
	}
	shares := w.measuredFillerShares()
	for _, t := range w.tasks {
		if t.spec().Objective == 0 || t.state != running || t.percent != 100 || t.tailLatency <= 0 || now-t.modelledAt < readingAge {
			continue
		}
		t.modelledAt = now
		headroom := math.Min(float64(t.spec().Objective)/float64(t.tailLatency), idleHeadroom)
		s.sensitivityOf(t.spec().Image).update(s.baselineOf(t), now-readingAge, headroom, shares)
	}
}

// fillerPaces returns the fillers of a worker, and the highest pace of each, in percent,
// at which the serving tasks are predicted to keep pacingHeadroom until the next
// adjustment. Fillers with the highest weight are slowed first.
func (s *Scheduler) fillerPaces(w *worker) ([]*task, map[*task]int) {
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
		deficit := pacingHeadroom - g.baseline.lowerOf(now, now+pacingHorizon)
		for _, t := range fillers {
			deficit += g.sensitivity.weight(t.spec().Image) * t.fullSpeedShare(w)
		}
		if deficit <= 0 {
			continue
		}
		slices.SortStableFunc(fillers, func(a, b *task) int {
			return cmp.Compare(g.sensitivity.weight(b.spec().Image), g.sensitivity.weight(a.spec().Image))
		})
		for _, t := range fillers {
			loss := g.sensitivity.weight(t.spec().Image) * t.fullSpeedShare(w)
			if deficit <= 0 || loss <= 0 {
				break
			}
			reduction := math.Min(loss, deficit)
			paces[t] = min(paces[t], int(100*(1-reduction/loss)))
			deficit -= reduction
		}
	}
	return fillers, paces
}

// markExploring sets exploredAt of the images of the serving tasks on a worker where a
// filler of a step is placed, if its image is without enough evidence.
func (s *Scheduler) markExploring(step *Step, w *worker) {
	if !step.Filler || w.serving == 0 {
		return
	}
	for _, t := range w.tasks {
		if t.spec().Objective == 0 {
			continue
		}
		if m := s.sensitivityOf(t.spec().Image); !m.hasEvidence(step.Image) {
			m.exploredAt[step.Image] = s.now()
		}
	}
}
