package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
)

// machines is a stand-in for the platform's service for the machines of a bench's
// workers: m0 runs w0, and a worker of the next life after an upkeep.
type machines struct {
	*bench
	lives map[string]int
	// back is when a machine is up again.
	back map[string]clock.Millis
	down int
	most int
}

func newMachines(b *bench) *machines {
	return &machines{bench: b, lives: map[string]int{}, back: map[string]clock.Millis{}}
}

func waveOf(b *bench, limit clock.Millis, atOnce, n int) {
	w := Wave{ID: "1", Cohort: 1, Limit: limit, AtOnce: atOnce}
	for i := range n {
		w.Machines = append(w.Machines, fmt.Sprint("m", i))
	}
	b.SetWaves([]Wave{w})
}

// worker returns the id of the worker that a machine runs.
func (m *machines) worker(i int) string {
	id := fmt.Sprint("m", i)
	if m.lives[id] == 0 {
		return fmt.Sprint("w", i)
	}
	return fmt.Sprintf("w%d-%d", i, m.lives[id])
}

// list shows all machines to the scheduler and takes its orders, answered or not.
func (m *machines) list(n int, outcome func() UpkeepOutcome) {
	asked := m.clock.Now()
	m.clock.Advance(10)
	var ms []Machine
	for i := range n {
		id := fmt.Sprint("m", i)
		if b, ok := m.back[id]; ok && b <= asked {
			delete(m.back, id)
			m.down--
			m.lives[id]++
			w := benchWorker(i)
			w.ID = m.worker(i)
			m.UpdateWorker(w)
		}
		ms = append(ms, Machine{ID: id, Worker: m.worker(i), Up: m.back[id] == 0, InUpkeep: m.back[id] != 0})
	}
	m.ListMachines(ms, asked)
	for _, u := range m.Upkeeps() {
		out := outcome()
		if out != UpkeepBusy && m.back[u.Machine] == 0 && m.lives[u.Machine] == 0 {
			m.back[u.Machine] = m.clock.Now() + defaultUpkeep
			m.down++
			m.most = max(m.most, m.down)
		}
		m.UpkeepAnswered(u, out)
	}
}

func TestWave(t *testing.T) {
	tests := map[string]struct {
		limit   clock.Millis
		atOnce  int
		outcome UpkeepOutcome
		// done is how long the wave may take.
		done clock.Millis
		most int
	}{
		"time enough":       {limit: 40 * clock.Second, atOnce: 8, done: 40 * clock.Second, most: 3},
		"all at once":       {limit: 5 * clock.Second, atOnce: 8, done: 5 * clock.Second, most: 8},
		"bounded by number": {limit: 5 * clock.Second, atOnce: 2, done: 10 * clock.Second, most: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(8)
			m := newMachines(b)
			waveOf(b, tc.limit, tc.atOnce, 8)
			begin := b.clock.Now()
			for b.Maintaining() && b.clock.Now()-begin < 2*tc.done {
				m.list(8, func() UpkeepOutcome { return UpkeepBegun })
				b.clock.Advance(90)
				for id, s := range b.WaveStates() {
					b.Published(id, s)
				}
			}
			must.False(t, b.Maintaining())
			must.LessEq(t, tc.done, b.clock.Now()-begin)
			must.LessEq(t, tc.most, m.most)
		})
	}
}

// TestWaveWithoutAnswers loses answers, finds machines busy, and changes the leader.
func TestWaveWithoutAnswers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const n, atOnce = 6, 2
		b := newBench(n)
		m := newMachines(b)
		waveOf(b, 10*clock.Second, atOnce, n)
		told := WaveState("")
		for step := 0; b.Maintaining(); step++ {
			must.Less(r, 2000, step)
			m.list(n, func() UpkeepOutcome {
				return rapid.SampledFrom([]UpkeepOutcome{UpkeepBegun, UpkeepBegun, UpkeepUnclear, UpkeepBusy}).Draw(r, "outcome")
			})
			b.clock.Advance(90)
			for id, s := range b.WaveStates() {
				if s == WaveCompleted {
					for i := range n {
						must.Positive(r, m.lives[fmt.Sprint("m", i)]+int(m.back[fmt.Sprint("m", i)]), must.Sprint("a machine was left out"))
					}
				}
				must.NotEq(r, WaveCompleted, told)
				told = s
				b.Published(id, s)
			}
			if rapid.IntRange(0, 60).Draw(r, "takeover") == 0 && told != WaveCompleted {
				// A new leader knows only what the operator was told.
				b.waves, b.upkeeps = map[string]*wave{}, nil
				waveOf(b, 10*clock.Second, atOnce, n)
				b.Published("1", told)
			}
		}
		must.LessEq(r, atOnce, m.most)
	})
}

// TestUpkeepKeepsLossySteps takes down the machines of a step of which one task at a
// time may be away.
func TestUpkeepKeepsLossySteps(t *testing.T) {
	const n = 4
	b := newBench(n)
	m := newMachines(b)
	b.submit(t, "serving", Step{Count: 3, CPU: 100, LongRunning: true, MaxUnavailable: 1})
	// at has the run of each task that is at work, by task.
	at := map[string]Order{}
	ends := map[string][]EndedRun{}
	number := int64(0)
	start := func() {
		for _, o := range b.store() {
			b.Answered(o, Done)
			at[o.Task.String()] = o
		}
	}
	start()
	waveOf(b, 3*clock.Second, n, n)
	for range 200 {
		for i := range n {
			w := m.worker(i)
			var active []ActiveRun
			for _, o := range at {
				if o.Worker == w {
					active = append(active, ActiveRun{Task: o.Task.String(), Attempt: o.Attempt, Percent: 100})
				}
			}
			b.list(w, active, ends[w]...)
		}
		start()
		m.list(n, func() UpkeepOutcome { return UpkeepBegun })
		for i := range n {
			if m.back[fmt.Sprint("m", i)] == 0 {
				continue
			}
			for _, o := range at {
				must.NotEq(t, m.worker(i), o.Worker, must.Sprint("a machine went down under a task"))
			}
		}
		for _, o := range b.Immediate() {
			if r, ok := at[o.Task.String()]; ok && o.Kind == Stop && r.Attempt == o.Attempt {
				b.Answered(o, Done)
				number++
				ends[o.Worker] = append(ends[o.Worker], endOf(number, o, EndStopped))
				delete(at, o.Task.String())
			}
		}
		must.GreaterEq(t, 2, len(at), must.Sprint("tasks at work"))
		b.clock.Advance(90)
		for id, s := range b.WaveStates() {
			b.Published(id, s)
		}
		if !b.Maintaining() {
			return
		}
	}
	t.Fatal("the wave does not end")
}
