package claimer

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// register is the sequential reference: one process, no faults. A claim
	// wins where it names the epoch in force; the offset is the new epoch.
	register struct {
		epoch int64
	}

	outcome struct {
		won     bool
		unknown bool
		epoch   int64
	}
)

// model is that of one shard without renewals and releases.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{epoch: NoEpoch} },
		Step: func(state, input, output any) (bool, any) {
			s, c, o := state.(register), input.(*schema.Claim), output.(outcome)
			wins := c.GetPreviousEpoch() == s.epoch
			switch {
			case o.unknown:
				return true, s
			case o.won:
				return wins, register{epoch: o.epoch}
			}
			return true, s
		},
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byShard := map[string][]porcupine.Operation{}
			for _, o := range history {
				n := o.Input.(*schema.Claim).GetShard()
				byShard[n] = append(byShard[n], o)
			}
			var parts [][]porcupine.Operation
			for _, p := range byShard {
				parts = append(parts, p)
			}
			return parts
		},
	}
}

func (f *fleet) operations() []porcupine.Operation {
	var ops []porcupine.Operation
	for _, a := range f.history {
		o := porcupine.Operation{ClientId: a.client, Input: a.claim, Call: int64(a.call), Return: int64(a.returned), Output: outcome{won: a.counted, epoch: int64(a.offset)}}
		if a.returned == 0 {
			o.Return = math.MaxInt64
			o.Output = outcome{unknown: true}
		}
		ops = append(ops, o)
	}
	return ops
}

// TestClaimsLinearizable: the claims that won follow one upon the other as if
// they had been made one at a time.
func TestClaimsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2)
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			f.disturb()
			f.run(clock.Millis(f.rng.Int64N(int64(8*clock.Second))), func() {})
		}
		f.heal()
		f.run(20*clock.Second, func() {})
		must.True(t, porcupine.CheckOperations(model(), f.operations()))
	})
}

func TestClaimsLinearizableFires(t *testing.T) {
	won := func(previous, epoch, call int64) porcupine.Operation {
		return porcupine.Operation{Input: &schema.Claim{Shard: "a/0", PreviousEpoch: previous}, Call: call, Return: call + 1, Output: outcome{won: true, epoch: epoch}}
	}
	must.True(t, porcupine.CheckOperations(model(), []porcupine.Operation{won(-1, 0, 1), won(0, 5, 3)}))
	must.False(t, porcupine.CheckOperations(model(), []porcupine.Operation{won(-1, 0, 1), won(-1, 5, 3)}))
	must.False(t, porcupine.CheckOperations(model(), []porcupine.Operation{won(-1, 4, 3), won(4, 5, 1)}))
}
