package checker

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

const (
	empty    = ""
	traceEnd = clock.Hour
)

func runOf(task string, n int64) provider.Incarnation {
	return provider.Incarnation{Task: task, Number: n}
}

func started(at clock.Millis, worker, task string, n int64, checkpoint string) Event {
	return RunStarted(at, worker, runOf(task, n), sizer.New(1000, 1, 0), checkpoint)
}

func ended(at clock.Millis, worker, task string, n int64, p provider.TaskPhase, checkpoint string) Event {
	return RunEnded(at, worker, runOf(task, n), p, checkpoint)
}

// TestRules tests each rule with traces that satisfy it and traces that break it. want
// is the rule that must be reported, or "" if none may be.
func TestRules(t *testing.T) {
	declarations := []Event{
		WorkerAdded(0, "w1", "south", sizer.New(2000, 2, 0)),
		WorkerAdded(0, "w2", "south", sizer.New(2000, 2, 0)),
		WorkDeclared(0, "a", empty, false),
		WorkDeclared(0, "b", "crossing", false),
		WorkDeclared(0, "c", "crossing", false),
		WorkDeclared(0, "bill", empty, true),
	}
	tests := map[string]struct {
		trace []Event
		want  string
	}{
		"full worker":                    {trace: []Event{started(1, "w1", "a", 1, empty), started(1, "w1", "b", 1, empty)}},
		"overfull worker":                {trace: []Event{started(1, "w1", "a", 1, empty), started(1, "w1", "b", 1, empty), started(2, "w1", "bill", 1, empty)}, want: "capacity"},
		"capacity freed":                 {trace: []Event{started(1, "w1", "a", 1, empty), started(1, "w1", "b", 1, empty), ended(2, "w1", "a", 1, provider.PhaseSucceeded, empty), started(2, "w1", "bill", 1, empty)}},
		"unknown worker":                 {trace: []Event{started(1, "w9", "a", 1, empty)}, want: "capacity"},
		"exclusive in sequence":          {trace: []Event{started(1, "w1", "b", 1, empty), ended(2, "w1", "b", 1, provider.PhaseSucceeded, empty), started(2, "w2", "c", 1, empty)}},
		"exclusive concurrently":         {trace: []Event{started(1, "w1", "b", 1, empty), started(2, "w2", "c", 1, empty)}, want: "alone"},
		"one task in two places":         {trace: []Event{started(1, "w1", "a", 1, empty), started(2, "w2", "a", 2, empty)}, want: "alone"},
		"resumed":                        {trace: []Event{started(1, "w1", "a", 1, empty), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), started(3, "w2", "a", 2, "s")}},
		"never resumed":                  {trace: []Event{started(1, "w1", "a", 1, empty), ended(2, "w1", "a", 1, provider.PhaseStopped, "s")}, want: "resume"},
		"cancelled":                      {trace: []Event{started(1, "w1", "a", 1, empty), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), WorkEnded(3, "a")}},
		"resumed twice":                  {trace: []Event{started(1, "w1", "a", 1, empty), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), started(3, "w2", "a", 2, "s"), ended(4, "w2", "a", 2, provider.PhaseSucceeded, empty), started(5, "w1", "a", 2, "s")}, want: "resume"},
		"resumed without checkpoint":     {trace: []Event{started(1, "w1", "a", 1, empty), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), EvictionRecorded(2, runOf("a", 1), "s"), started(3, "w2", "a", 2, empty)}, want: "resume"},
		"never stopped":                  {trace: []Event{started(1, "w1", "a", 1, empty), EvictionRecorded(2, runOf("a", 1), "s")}, want: "resume"},
		"other checkpoint recorded":      {trace: []Event{started(1, "w1", "a", 1, empty), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), EvictionRecorded(2, runOf("a", 1), "t"), started(3, "w2", "a", 2, "t")}, want: "resume"},
		"start soon after drain":         {trace: []Event{DrainAccepted(10, "south"), started(11, "w1", "a", 1, empty)}},
		"start long after drain":         {trace: []Event{DrainAccepted(10, "south"), started(11+defaultDrain, "w1", "a", 1, empty)}, want: "drain"},
		"start after drain ended":        {trace: []Event{DrainAccepted(10, "south"), DrainLifted(11, "south"), started(11+defaultDrain, "w1", "a", 1, empty)}},
		"correct answer":                 {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", "x", false)}},
		"other's answer":                 {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", "y", false)}, want: "answer"},
		"truncated answer":               {trace: []Event{RequestSent(1, "d", "r", "xy"), RequestAnswered(2, "d", "r", "x", false)}, want: "answer"},
		"two answers":                    {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", "x", false), RequestAnswered(3, "d", "r", "x", false)}, want: "answer"},
		"answer without request":         {trace: []Event{RequestAnswered(2, "d", "r", "x", false)}, want: "answer"},
		"request refused":                {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", empty, true)}},
		"request refused after it ran":   {trace: []Event{RequestSent(1, "d", "r", "x"), RequestDispatched(1, "e", "r"), RequestAnswered(2, "d", "r", empty, true)}, want: "not-run"},
		"work refused":                   {trace: []Event{WorkAnswered(1, "a", true)}},
		"work runs after refusal":        {trace: []Event{WorkAnswered(1, "a", true), started(9, "w1", "a", 1, empty)}, want: "not-run"},
		"work ran before refusal":        {trace: []Event{started(1, "w1", "a", 1, empty), WorkAnswered(9, "a", true)}, want: "not-run"},
		"non-idempotent once":            {trace: []Event{started(1, "w1", "bill", 1, empty)}},
		"non-idempotent twice":           {trace: []Event{started(1, "w1", "bill", 1, empty), ended(2, "w1", "bill", 1, provider.PhaseLapsed, empty), started(3, "w1", "bill", 2, empty)}, want: "at-most-once"},
		"request soon after leaving":     {trace: []Event{BackendLeaving(1, "e"), RequestDispatched(2, "e", "r")}},
		"request long after leaving":     {trace: []Event{BackendLeaving(1, "e"), RequestDispatched(2+defaultLeaving, "e", "r")}, want: "leaving"},
		"task to leaving worker":         {trace: []Event{BackendLeaving(1, "w1"), started(2+defaultLeaving, "w1", "a", 1, empty)}, want: "leaving"},
		"backend returned":               {trace: []Event{BackendLeaving(1, "e"), BackendReturned(2, "e"), RequestDispatched(2+defaultLeaving, "e", "r")}},
		"shutdown after the answer":      {trace: []Event{RequestSent(1, "d", "r", "x"), ShutdownBegun(2, "d"), RequestAnswered(3, "d", "r", "x", false), DaemonStopped(4, "d")}},
		"shutdown without the answer":    {trace: []Event{RequestSent(1, "d", "r", "x"), ShutdownBegun(2, "d"), DaemonStopped(4, "d")}, want: "shutdown"},
		"kill without the answer":        {trace: []Event{RequestSent(1, "d", "r", "x"), DaemonKilled(4, "d")}},
		"config in time":                 {trace: []Event{DaemonStarted(0, "d"), ConfigAccepted(1, 7), ConfigInForce(defaultConfig, "d", 7)}},
		"config late":                    {trace: []Event{DaemonStarted(0, "d"), ConfigAccepted(1, 7), ConfigInForce(2+defaultConfig, "d", 7)}, want: "config"},
		"config never":                   {trace: []Event{DaemonStarted(0, "d"), ConfigAccepted(1, 7)}, want: "config"},
		"config reverts":                 {trace: []Event{DaemonStarted(0, "d"), ConfigInForce(1, "d", 7), ConfigInForce(2, "d", 6)}, want: "config"},
		"config older after start":       {trace: []Event{DaemonStarted(0, "d"), ConfigInForce(1, "d", 7), DaemonKilled(2, "d"), DaemonStarted(3, "d"), ConfigInForce(4, "d", 6)}},
		"config while cut off":           {trace: []Event{DaemonStarted(0, "d"), ConfigCutOff(0, "d"), ConfigAccepted(1, 7)}},
		"config late after reconnecting": {trace: []Event{DaemonStarted(0, "d"), ConfigCutOff(0, "d"), ConfigAccepted(1, 7), ConfigJoined(2, "d")}, want: "config"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			for _, e := range append(declarations, tc.trace...) {
				c.Add(e)
			}
			var rules []string
			for _, v := range c.Violations(traceEnd) {
				rules = append(rules, v.Rule())
			}
			if tc.want == "" {
				must.SliceEmpty(t, rules)
				return
			}
			must.SliceContains(t, rules, tc.want, must.Sprint(rules))
		})
	}
}
