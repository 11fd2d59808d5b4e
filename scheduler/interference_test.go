package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

type (
	// ward plays workers on which serving tasks and fillers disturb each other: the tail
	// of a serving task is that of an idle one, divided by the share of its time that its
	// users and the fillers beside it leave.
	ward struct {
		*bench
		random  *rand.Rand
		period  clock.Millis
		phases  map[string]float64
		weights map[[2]string]float64
		// work is what is left of each filler at full speed.
		work  map[string]clock.Millis
		paces map[string]int
		ended map[string]int64
		// over and served are times of serving tasks: over their objective for the fillers'
		// sake, and altogether.
		over, served clock.Millis
	}
)

const (
	wardWorkers  = 12
	wardServices = 12
	wardTick     = 50 * clock.Millis(1)
	wardIdleTail = 4.0
	wardFiller   = 2200 * clock.Millis(1)
)

func newWard(seed uint64, period clock.Millis) *ward {
	w := &ward{
		bench: newBench(0), random: rand.New(rand.NewPCG(seed, seed)), period: period, phases: map[string]float64{},
		weights: map[[2]string]float64{}, work: map[string]clock.Millis{}, paces: map[string]int{}, ended: map[string]int64{},
	}
	for i := range wardWorkers {
		n := benchWorker(i)
		n.CPU, n.Memory = 32000, 128000
		w.UpdateWorker(n)
	}
	for s := range 4 {
		for f := range 8 {
			w.weights[[2]string{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = 0.2
			if w.random.IntN(4) == 0 {
				w.weights[[2]string{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = 2
			}
		}
	}
	return w
}

func (w *ward) add(t *testing.T, id string, queue Queue, step Step) {
	t.Helper()
	queue.Service = benchService
	must.NoError(t, w.Submit(Spec{ID: id, Queue: queue, Steps: []Step{step}}, func(error) {}))
}

// headroom returns that of a task without fillers, and what fillers take of it.
func (w *ward) headroom(t *task) (alone, taken float64) {
	id := t.job().spec.ID
	load := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*float64(w.clock.Now())/float64(w.period)+w.phases[id]))
	for _, f := range t.worker.tasks {
		if f.spec().Filler && f.state == running && w.work[f.name().String()] > 0 {
			taken += w.weights[[2]string{t.spec().Image, f.spec().Image}] * float64(f.spec().CPU) / float64(t.worker.info.CPU) * float64(w.paces[f.name().String()]) / 100
		}
	}
	return 4.5 * (1 - load), 4.5 * taken
}

// tick plays a short time: the orders, the work, and now and then the reports.
func (w *ward) tick(look bool) {
	for _, o := range append(w.store(), w.Immediate()...) {
		switch o.Kind {
		case Start:
			if _, ok := w.work[o.Task.String()]; !ok {
				w.work[o.Task.String()] = wardFiller
			}
			w.paces[o.Task.String()] = 100
			w.Answered(o, Done)
		case Pace:
			w.paces[o.Task.String()] = o.Percent
			w.Answered(o, Done)
		case Stop:
			w.Answered(o, Done)
		}
	}
	w.clock.Advance(wardTick)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		var ends []EndedRun
		var active []ActiveRun
		for _, t := range slices.Clone(w.workers[id].tasks) {
			name := t.name().String()
			a := ActiveRun{Task: name, Attempt: t.attempt, Percent: 100}
			switch {
			case t.spec().Objective > 0:
				alone, taken := w.headroom(t)
				w.served += wardTick
				if alone-taken < 1 {
					w.over += wardTick
				}
				noise := 1 + 0.08*w.random.NormFloat64()
				a.Gauge = int64(math.Round(wardIdleTail * 4.5 / max(alone-taken, 0.3) * noise))
			default:
				w.work[name] -= wardTick * clock.Millis(w.paces[name]) / 100
				a.Percent = int(100 * (wardFiller - w.work[name]) / wardFiller)
				a.Gauge = t.spec().CPU * int64(w.paces[name]) / 100
				if t.stopping || w.work[name] <= 0 {
					w.ended[id]++
					e := EndedRun{Number: w.ended[id], Task: name, Attempt: t.attempt, How: EndDone}
					if t.stopping && w.work[name] > 0 {
						e.How = EndStopped
					}
					ends = append(ends, e)
					continue
				}
			}
			active = append(active, a)
		}
		if look || len(ends) > 0 {
			w.list(id, active, ends...)
		}
	}
	w.Sweep()
}

// TestFillersBesideServingTasks plays a minute of serving tasks whose users come in
// waves, beside fillers that use a third of the processors. Objectives are to be met in
// 99 of 100 moments, and 95 of 100 fillers to end within twice their work and a second,
// as the users' sheets ask.
func TestFillersBesideServingTasks(t *testing.T) {
	tests := map[string]struct {
		seed   uint64
		period clock.Millis
	}{
		"waves of ten seconds":      {seed: 1, period: 10 * clock.Second},
		"waves of fourteen seconds": {seed: 2, period: 14 * clock.Second},
		"waves of seven seconds":    {seed: 3, period: 7 * clock.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWard(c.seed, c.period)
			for i := range wardServices {
				id := fmt.Sprint("service", i)
				w.phases[id] = w.random.Float64() * 2 * math.Pi
				w.add(t, id, Queue{Name: "l"}, Step{Count: 4, CPU: 6400, Memory: 1000, LongRunning: true, Objective: 18, Image: fmt.Sprint("s", i%4)})
			}
			submitted := map[string]clock.Millis{}
			onTime := 0
			for i := range int(clock.Minute / wardTick) {
				if i%8 == 0 && i < int(50*clock.Second/wardTick) {
					id := fmt.Sprint("filler", i)
					submitted[id] = w.clock.Now()
					w.add(t, id, Queue{Name: "f", Priority: 2, Slack: 2, Target: clock.Second, MaxAttempts: 3},
						Step{Count: 6, CPU: 3500, Memory: 1000, Estimate: wardFiller, Filler: true, Checkpointing: true, Image: fmt.Sprint("f", w.random.IntN(8))})
				}
				w.tick(i%10 == 0)
				if i == int(10*clock.Second/wardTick) {
					// What the images do to each other is known by now.
					w.over, w.served = 0, 0
				}
				for id, at := range submitted {
					if p, err := w.Phase(id, "f"); err == nil && p == Completed {
						if w.clock.Now()-at <= 2*wardFiller+clock.Second {
							onTime++
						}
						delete(submitted, id)
					}
				}
			}
			t.Logf("over for %.2f%% of the time, %d of 125 fillers on time, %d not done", 100*float64(w.over)/float64(w.served), onTime, len(submitted))
			must.LessEq(t, 0.01, float64(w.over)/float64(w.served))
			must.GreaterEq(t, 119, onTime)
		})
	}
}
