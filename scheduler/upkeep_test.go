package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
)

// fakeMachines is a fake of the platform's machine service for the workers of a harness.
// Machine m0 has the worker w0, and after its upkeep the new worker w0-1.
type fakeMachines struct {
	*harness
	restarts map[string]int
	// upAt is when a machine that is down is up again.
	upAt    map[string]clock.Millis
	down    int
	maxDown int
}

func newFakeMachines(b *harness) *fakeMachines {
	return &fakeMachines{harness: b, restarts: map[string]int{}, upAt: map[string]clock.Millis{}}
}

func setWave(b *harness, limit clock.Millis, atOnce, n int) {
	w := Wave{ID: "1", Cohort: 1, Limit: limit, MaxDown: atOnce}
	for i := range n {
		w.Machines = append(w.Machines, fmt.Sprint("m", i))
	}
	b.SetWaves([]Wave{w})
}

// worker returns the ID of the current or last worker of machine i.
func (m *fakeMachines) worker(i int) string {
	id := fmt.Sprint("m", i)
	if m.restarts[id] == 0 {
		return fmt.Sprint("w", i)
	}
	return fmt.Sprintf("w%d-%d", i, m.restarts[id])
}

// poll passes a list of n machines to the scheduler and answers its orders with the
// outcomes that outcome returns. A machine goes down unless the outcome is UpkeepBusy.
func (m *fakeMachines) poll(n int, outcome func() UpkeepOutcome) {
	asked := m.clock.Now()
	m.clock.Advance(10)
	var ms []Machine
	for i := range n {
		id := fmt.Sprint("m", i)
		if b, ok := m.upAt[id]; ok && b <= asked {
			delete(m.upAt, id)
			m.down--
			m.restarts[id]++
			w := testWorker(i)
			w.ID = m.worker(i)
			m.UpdateWorker(w)
		}
		ms = append(ms, Machine{ID: id, Worker: m.worker(i), Up: m.upAt[id] == 0, InUpkeep: m.upAt[id] != 0})
	}
	m.ApplyMachineList(ms, asked)
	for _, u := range m.TakeUpkeepOrders() {
		out := outcome()
		if out != UpkeepBusy && m.upAt[u.Machine] == 0 && m.restarts[u.Machine] == 0 {
			m.upAt[u.Machine] = m.clock.Now() + defaultUpkeepLength
			m.down++
			m.maxDown = max(m.maxDown, m.down)
		}
		m.UpkeepAnswered(u, out)
	}
}

func TestWave(t *testing.T) {
	tests := map[string]struct {
		limit   clock.Millis
		atOnce  int
		outcome UpkeepOutcome
		// maxDuration is the time within which the wave must be completed, maxDown how
		// many machines may be down at once.
		maxDuration clock.Millis
		maxDown     int
	}{
		"ample time":        {limit: 40 * clock.Second, atOnce: 8, maxDuration: 40 * clock.Second, maxDown: 3},
		"all at once":       {limit: 5 * clock.Second, atOnce: 8, maxDuration: 5 * clock.Second, maxDown: 8},
		"limited by AtOnce": {limit: 5 * clock.Second, atOnce: 2, maxDuration: 10 * clock.Second, maxDown: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(8)
			m := newFakeMachines(b)
			setWave(b, tc.limit, tc.atOnce, 8)
			begin := b.clock.Now()
			for b.WaveInProgress() && b.clock.Now()-begin < 2*tc.maxDuration {
				m.poll(8, func() UpkeepOutcome { return UpkeepBegun })
				b.clock.Advance(90)
				for id, s := range b.WaveStates() {
					b.WaveStatePublished(id, s)
				}
			}
			must.False(t, b.WaveInProgress())
			must.LessEq(t, tc.maxDuration, b.clock.Now()-begin)
			must.LessEq(t, tc.maxDown, m.maxDown)
		})
	}
}

// TestWaveFaults checks waves while answers are lost, machines are busy and leaders
// change: a wave must be published as completed exactly once, no machine may be left out,
// and no more machines may be down at once than allowed.
func TestWaveFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const n, atOnce = 6, 2
		b := newHarness(n)
		m := newFakeMachines(b)
		setWave(b, 10*clock.Second, atOnce, n)
		published := WaveState("")
		for step := 0; b.WaveInProgress(); step++ {
			must.Less(r, 2000, step)
			m.poll(n, func() UpkeepOutcome {
				return rapid.SampledFrom([]UpkeepOutcome{UpkeepBegun, UpkeepBegun, UpkeepUnclear, UpkeepBusy}).Draw(r, "outcome")
			})
			b.clock.Advance(90)
			for id, s := range b.WaveStates() {
				if s == WaveCompleted {
					for i := range n {
						must.Positive(r, m.restarts[fmt.Sprint("m", i)]+int(m.upAt[fmt.Sprint("m", i)]), must.Sprint("a machine was left out"))
					}
				}
				must.NotEq(r, WaveCompleted, published)
				published = s
				b.WaveStatePublished(id, s)
			}
			if rapid.IntRange(0, 60).Draw(r, "takeover") == 0 && published != WaveCompleted {
				// A new leader knows only the published state.
				b.waves, b.upkeepOrders = map[string]*wave{}, nil
				setWave(b, 10*clock.Second, atOnce, n)
				b.WaveStatePublished("1", published)
			}
		}
		must.LessEq(r, atOnce, m.maxDown)
	})
}

// TestUpkeepMaxUnavailable takes down all machines while they run a step of three tasks,
// of which one may be unavailable: no machine may go down under a run that was not
// stopped, and at least two of the tasks must have a run throughout.
func TestUpkeepMaxUnavailable(t *testing.T) {
	const n = 4
	b := newHarness(n)
	m := newFakeMachines(b)
	b.submit(t, "serving", Step{Count: 3, CPU: 100, LongRunning: true, MaxUnavailable: 1})
	// runs has the order of each working run, by task.
	runs := map[string]Order{}
	ends := map[string][]EndedRun{}
	number := int64(0)
	start := func() {
		for _, o := range b.placeAndStore() {
			b.OrderAnswered(o, Done)
			runs[o.Task.String()] = o
		}
	}
	start()
	setWave(b, 3*clock.Second, n, n)
	for range 200 {
		for i := range n {
			w := m.worker(i)
			var active []ActiveRun
			for _, o := range runs {
				if o.Worker == w {
					active = append(active, ActiveRun{Task: o.Task.String(), Attempt: o.Attempt, Percent: 100})
				}
			}
			b.report(w, active, ends[w]...)
		}
		start()
		m.poll(n, func() UpkeepOutcome { return UpkeepBegun })
		for i := range n {
			if m.upAt[fmt.Sprint("m", i)] == 0 {
				continue
			}
			for _, o := range runs {
				must.NotEq(t, m.worker(i), o.Worker, must.Sprint("a machine with a working task went down"))
			}
		}
		for _, o := range b.TakeImmediateOrders() {
			if r, ok := runs[o.Task.String()]; ok && o.Kind == Stop && r.Attempt == o.Attempt {
				b.OrderAnswered(o, Done)
				number++
				ends[o.Worker] = append(ends[o.Worker], endedRun(number, o, EndStopped))
				delete(runs, o.Task.String())
			}
		}
		must.GreaterEq(t, 2, len(runs), must.Sprint("working tasks"))
		b.clock.Advance(90)
		for id, s := range b.WaveStates() {
			b.WaveStatePublished(id, s)
		}
		if !b.WaveInProgress() {
			return
		}
	}
	t.Fatal("the wave was not completed")
}
