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
	// naive runs each submission at once, one after the other, the first of
	// each key.
	naive struct {
		answers map[string]string
	}
)

func (v *naive) run(i *schema.Intent) {
	if _, taken := v.answers[i.GetKey()]; taken {
		return
	}
	b := imitator.AsDeclared(provider.StartOrder{Payload: i.GetPayload()})
	v.answers[i.GetKey()] = string(b.Answer)
}

// TestAgainstNaive compares what became of all work under faults with what a
// scheduler of one process without any would have answered. Work that must not
// run twice may be unknown instead, and work with a deadline may have missed
// it; nothing else may differ.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t, rapid.Uint64().Draw(t, "seed"), breachNone)
		actions := c.actions(t)
		delete(actions, "cancel")
		actions["worker"] = func(*rapid.T) {
			c.anyWorker().SetFaults(imitator.WorkerFaults{Down: c.rng.IntN(2) == 0, LoseAnswers: c.rng.IntN(3)})
		}
		t.Repeat(actions)
		c.settle(t)
		v := naive{answers: map[string]string{}}
		for _, i := range c.intents() {
			v.run(i)
		}
		for _, i := range c.intents() {
			c.compare(t, i, v.answers[i.GetKey()])
		}
	})
}

// intents gives every submission in the log but those of the daemons.
func (c *chaos) intents() []*schema.Intent {
	n := &node{world: c.world}
	var all []*schema.Intent
	for _, e := range n.read(provider.StreamIntents, &n.intents) {
		if i := decode(e.Data).GetIntent(); i != nil && i.GetJob() != "stock" {
			all = append(all, i)
		}
	}
	return all
}

func (c *chaos) compare(t *rapid.T, i *schema.Intent, want string) {
	o := c.final(i.GetKey())
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
		t.Errorf("%s has %s\n%s\n%s", i.GetKey(), o.Code(), c.describe(), c.history(i.GetKey()))
	}
}

// final gives the outcome that an owner knows.
func (c *chaos) final(key string) Outcome {
	for _, n := range c.sorted() {
		if o := n.keeper.Outcome(key); o.Known() && n.authority.Epoch() >= 0 {
			return o
		}
	}
	return Outcome{}
}
