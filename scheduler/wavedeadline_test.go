package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestTakeoverKeepsWaveDeadline guards against a late wave that gets its whole time limit again from each new leader.
func TestTakeoverKeepsWaveDeadline(t *testing.T) {
	for name, takeovers := range map[string]int{"one takeover": 1, "three takeovers": 3} {
		t.Run(name, func(t *testing.T) {
			const (
				machines = 8
				limit    = 30 * clock.Second
				// term is how long each leader leads that does not get anything done.
				term = 7 * clock.Second
			)
			b := newHarness(machines)
			m := newFakeMachines(b)
			w := Wave{ID: "1", Cohort: 1, Limit: limit, MaxDown: machines, SeenAt: b.clock.Now()}
			for i := range machines {
				w.Machines = append(w.Machines, fmt.Sprint("m", i))
			}
			for range takeovers {
				b.waves, b.upkeepOrders = map[string]*wave{}, nil
				b.SetWaves([]Wave{w})
				b.clock.Advance(term)
			}
			b.waves = map[string]*wave{}
			b.SetWaves([]Wave{w})
			for b.WaveInProgress() && b.clock.Now() < w.SeenAt+2*limit {
				m.poll(machines, func() UpkeepOutcome { return UpkeepBegun })
				b.clock.Advance(90)
				for id, s := range b.WaveStates() {
					b.WaveStatePublished(id, s)
				}
			}
			must.False(t, b.WaveInProgress())
			must.LessEq(t, limit, b.clock.Now()-w.SeenAt, must.Sprint("the wave is late"))
		})
	}
}

// TestBusyMachineKeepsDrainTimeout guards against a machine that is drained anew after each refused upkeep.
func TestBusyMachineKeepsDrainTimeout(t *testing.T) {
	const refusals = 3
	b := newHarness(1)
	m := newFakeMachines(b)
	b.submit(t, "long", Step{Count: 1, CPU: 100, Estimate: clock.Minute})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	setWave(b, 20*clock.Second, 1, 1)
	begin, refused := b.clock.Now(), 0
	for m.down == 0 && b.clock.Now() < begin+clock.Minute {
		b.report("w0", activeRuns(o))
		m.poll(1, func() UpkeepOutcome {
			if refused++; refused <= refusals {
				return UpkeepBusy
			}
			return UpkeepBegun
		})
		b.clock.Advance(90)
	}
	must.Eq(t, refusals+1, refused)
	must.LessEq(t, 2*plannedDrainTime+clock.Second, b.clock.Now()-begin)
}
