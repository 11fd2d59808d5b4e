package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// submission is the input of one caller's submission.
	submission struct {
		key     string
		payload string
	}

	// openSubmission is a submission to a daemon that has not been answered yet.
	openSubmission struct {
		submission
		id     string
		daemon int
		call   int64
	}
)

// firstWriteModel is a map in which the first submission of a key sets its value. Every
// submission returns the value of its key.
var firstWriteModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(submission).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		held := state.(string)
		if held == "" {
			held = input.(submission).payload
		}
		return output.(string) == held, held
	},
}

// TestSubmissionsAreLinearizable lets callers submit the same keys to lagging daemons,
// with appends that are late, duplicate or unanswered. The answers must be linearizable.
func TestSubmissionsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := raceSubmissions(rapid.Uint64().Draw(t, "seed"), false)
		must.True(t, porcupine.CheckOperations(firstWriteModel, history))
	})
}

// TestEarlyAnswersAreDetected lets daemons answer before they have read the submission
// back. The linearizability check must fail.
func TestEarlyAnswersAreDetected(t *testing.T) {
	for seed := range uint64(50) {
		if !porcupine.CheckOperations(firstWriteModel, raceSubmissions(seed, true)) {
			return
		}
	}
	t.Error("answers before the read back were never detected")
}

func raceSubmissions(seed uint64, answerEarly bool) []porcupine.Operation {
	rng := rand.New(rand.NewPCG(seed, 2))
	log := imitator.NewLog(imitator.WithAppendsPerSecond(1_000_000)).Provider()
	registers := []*Register{NewRegister(), NewRegister(), NewRegister()}
	winners := []map[string]string{{}, {}, {}}
	seen := []map[string]bool{{}, {}, {}}
	var open []openSubmission
	var history []porcupine.Operation
	for now := int64(1); now < 400; now++ {
		if now < 200 && rng.IntN(3) == 0 {
			s := submission{key: fmt.Sprint(rng.IntN(5)), payload: fmt.Sprint(now)}
			open = append(open, openSubmission{submission: s, id: fmt.Sprint(now), daemon: rng.IntN(3), call: now})
		}
		d := rng.IntN(3)
		readIntents(log, registers[d], winners[d], seen[d])
		var remaining []openSubmission
		for _, s := range open {
			if rng.IntN(4) == 0 {
				appendIntent(log, s)
			}
			if seen[s.daemon][s.id] || answerEarly && rng.IntN(8) == 0 {
				history = append(history, porcupine.Operation{
					ClientId: len(history), Input: s.submission, Output: answerOf(winners[s.daemon], s), Call: s.call, Return: now,
				})
				continue
			}
			remaining = append(remaining, s)
		}
		open = remaining
	}
	return history
}

func answerOf(winners map[string]string, s openSubmission) string {
	if w, known := winners[s.key]; known {
		return w
	}
	return s.payload
}

func appendIntent(log provider.Log, s openSubmission) {
	r := &schema.Record{Id: s.id, AtMillis: s.call, Body: &schema.Record_Intent{Intent: &schema.Intent{
		Key: s.key, Shard: testShard, Payload: []byte(s.payload),
	}}}
	if _, err := log.Append(context.Background(), provider.StreamIntents, [][]byte{encode(r)}); err != nil {
		panic(err)
	}
}

func readIntents(log provider.Log, r *Register, winners map[string]string, seen map[string]bool) {
	p, err := log.Read(context.Background(), provider.StreamIntents, r.Next(), 1000)
	if err != nil {
		panic(err)
	}
	for _, e := range p.Entries {
		rec := decode(e.Data)
		if v := r.Apply(e.Offset, rec); !v.Duplicate() {
			winners[rec.GetIntent().GetKey()] = string(rec.GetIntent().GetPayload())
		}
		seen[rec.GetId()] = true
	}
}
