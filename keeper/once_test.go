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
	// submission is a caller's submission, the input of firstWriteModel.
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
		value := state.(string)
		if value == "" {
			value = input.(submission).payload
		}
		return output.(string) == value, value
	},
}

// TestSubmissionsAreLinearizable lets callers submit the same keys to daemons that lag
// behind the log, with appends that are late, duplicate or unanswered. The answers must be
// linearizable.
func TestSubmissionsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := raceSubmissions(rapid.Uint64().Draw(t, "seed"), false)
		must.True(t, porcupine.CheckOperations(firstWriteModel, history))
	})
}

// TestEarlyAnswersAreDetected lets daemons answer before they have read the submission back
// from the log. The linearizability check must fail for one of the seeds.
func TestEarlyAnswersAreDetected(t *testing.T) {
	for seed := range uint64(50) {
		if !porcupine.CheckOperations(firstWriteModel, raceSubmissions(seed, true)) {
			return
		}
	}
	t.Error("answers before the read back were never detected")
}

// raceSubmissions returns the submissions of five keys to three daemons and their answers.
// Each daemon reads the log at random times. It answers a submission with the first payload
// of the key once it has read the submission, or with answerEarly sometimes before that.
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

// answerOf returns a daemon's answer to a submission: the first payload that it has read
// for the key, otherwise that of the submission.
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

// readIntents applies the unread submissions to a daemon's register. It adds the payload of
// each accepted submission to winners, by key, and the ID of each record to seen.
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
