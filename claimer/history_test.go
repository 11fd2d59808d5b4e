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
	// shardModel is the state of the sequential model of a shard. A claim may be
	// valid only if its previous epoch is the current one. Its offset is the new epoch.
	shardModel struct {
		epoch int64
	}

	// outcome is the result of a claim. It is unknown if no member read the claim
	// back, so no later claim can name its epoch.
	outcome struct {
		valid   bool
		unknown bool
		epoch   int64
	}
)

// claimModel returns the model that a history of claims must fit. Each shard is checked
// alone. Renewals and releases are left out, since they don't change the epoch that the
// next claim must name; a claim may therefore be invalid although the model allows it.
func claimModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return shardModel{epoch: NoEpoch} },
		Step: func(state, input, output any) (bool, any) {
			s, c, o := state.(shardModel), input.(*schema.Claim), output.(outcome)
			mayBeValid := c.GetPreviousEpoch() == s.epoch
			switch {
			case o.unknown:
				return true, s
			case o.valid:
				return mayBeValid, shardModel{epoch: o.epoch}
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
	for _, a := range f.claimAttempts {
		o := porcupine.Operation{ClientId: a.client, Input: a.claim, Call: int64(a.calledAt), Return: int64(a.returnedAt), Output: outcome{valid: a.valid, epoch: int64(a.offset)}}
		if a.returnedAt == 0 {
			o.Return = math.MaxInt64
			o.Output = outcome{unknown: true}
		}
		ops = append(ops, o)
	}
	return ops
}

// TestClaimsLinearizable guards against two valid claims that replace the same epoch. The
// history of the claims made under random faults must be linearizable in the model.
func TestClaimsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 3, 2)
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			f.injectFault()
			f.run(clock.Millis(f.rng.Int64N(int64(8*clock.Second))), func() {})
		}
		f.clearFaults()
		f.run(20*clock.Second, func() {})
		must.True(t, porcupine.CheckOperations(claimModel(), f.operations()))
	})
}

// TestClaimModelRejectsViolations shows that the model accepts a valid history and rejects
// histories in which two claims replace the same epoch, or a claim replaces an epoch that
// begins only later.
func TestClaimModelRejectsViolations(t *testing.T) {
	validClaim := func(previous, epoch, calledAt int64) porcupine.Operation {
		return porcupine.Operation{Input: &schema.Claim{Shard: "a/0", PreviousEpoch: previous}, Call: calledAt, Return: calledAt + 1, Output: outcome{valid: true, epoch: epoch}}
	}
	must.True(t, porcupine.CheckOperations(claimModel(), []porcupine.Operation{validClaim(-1, 0, 1), validClaim(0, 5, 3)}))
	must.False(t, porcupine.CheckOperations(claimModel(), []porcupine.Operation{validClaim(-1, 0, 1), validClaim(-1, 5, 3)}))
	must.False(t, porcupine.CheckOperations(claimModel(), []porcupine.Operation{validClaim(-1, 4, 3), validClaim(4, 5, 1)}))
}
