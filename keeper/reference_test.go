package keeper

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// referenceModel is a sequential scheduler without faults: it runs the first
	// submission of each key at once.
	referenceModel struct {
		answers map[string]string
	}
)

func (v *referenceModel) run(i *schema.Intent) {
	if _, taken := v.answers[i.GetKey()]; taken {
		return
	}
	b := imitator.AsDeclared(provider.StartOrder{Payload: i.GetPayload()})
	v.answers[i.GetKey()] = string(b.Answer)
}

// TestMatchesReferenceModel compares all results under faults with those of the reference
// model. Only two differences are allowed: the result of a task that must not run twice may
// be unknown, and a task with a deadline may have missed it.
func TestMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t, rapid.Uint64().Draw(t, "seed"), defectNone)
		actions := c.actions(t)
		delete(actions, "cancel")
		actions["worker"] = func(*rapid.T) {
			c.anyWorker().SetFaults(imitator.WorkerFaults{Down: c.rng.IntN(2) == 0, LoseAnswers: c.rng.IntN(3)})
		}
		t.Repeat(actions)
		c.repairAndFinish(t)
		v := referenceModel{answers: map[string]string{}}
		for _, i := range c.intents() {
			v.run(i)
		}
		for _, i := range c.intents() {
			c.compare(t, i, v.answers[i.GetKey()])
		}
	})
}

// intents returns all submissions in the log except the watch job's, which the keepers
// submit.
func (c *chaos) intents() []*schema.Intent {
	n := &node{cluster: c.cluster}
	var all []*schema.Intent
	for _, e := range n.read(provider.StreamIntents, &n.nextIntent) {
		if i := decode(e.Data).GetIntent(); i != nil && i.GetJob() != "stock" {
			all = append(all, i)
		}
	}
	return all
}

// compare checks the outcome of a submission against the answer of the reference model.
func (c *chaos) compare(t *rapid.T, i *schema.Intent, want string) {
	o := c.ownerOutcome(i.GetKey())
	switch o.Code() {
	case coder.OK:
		must.Eq(t, want, string(o.Answer()), must.Sprint(i.GetKey()))
	case coder.Unknown:
		must.False(t, i.GetIdempotent(), must.Sprint(i.GetKey()))
	case coder.DeadlineTooShort:
		must.True(t, i.GetDeadlineMillis() > 0 && !o.Ran(), must.Sprint(i.GetKey()))
	case coder.Failed:
		must.True(t, i.GetDeadlineMillis() > 0, must.Sprint(i.GetKey()))
	default:
		t.Errorf("unexpected result of %s: %s\n%s\n%s", i.GetKey(), o.Code(), c.describe(), c.history(i.GetKey()))
	}
}

// ownerOutcome returns the outcome of a key at a node that owns its shard.
func (c *chaos) ownerOutcome(key string) Outcome {
	for _, n := range c.sortedNodes() {
		if o := n.keeper.Outcome(key); o.Known() && n.authority.Epoch() >= 0 {
			return o
		}
	}
	return Outcome{}
}
