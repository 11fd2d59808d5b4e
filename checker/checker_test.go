package checker

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

const (
	none = ""
	end  = clock.Hour
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

// TestRules gives each rule traces that keep it and traces that break it.
func TestRules(t *testing.T) {
	world := []Event{
		WorkerAdded(0, "w1", "south", sizer.New(2000, 2, 0)),
		WorkerAdded(0, "w2", "south", sizer.New(2000, 2, 0)),
		WorkDeclared(0, "a", none, false),
		WorkDeclared(0, "b", "crossing", false),
		WorkDeclared(0, "c", "crossing", false),
		WorkDeclared(0, "bill", none, true),
	}
	tests := map[string]struct {
		trace []Event
		want  string
	}{
		"full worker":              {trace: []Event{started(1, "w1", "a", 1, none), started(1, "w1", "b", 1, none)}},
		"overfull worker":          {trace: []Event{started(1, "w1", "a", 1, none), started(1, "w1", "b", 1, none), started(2, "w1", "bill", 1, none)}, want: "capacity"},
		"room freed":               {trace: []Event{started(1, "w1", "a", 1, none), started(1, "w1", "b", 1, none), ended(2, "w1", "a", 1, provider.PhaseSucceeded, none), started(2, "w1", "bill", 1, none)}},
		"unknown worker":           {trace: []Event{started(1, "w9", "a", 1, none)}, want: "capacity"},
		"one after another":        {trace: []Event{started(1, "w1", "b", 1, none), ended(2, "w1", "b", 1, provider.PhaseSucceeded, none), started(2, "w2", "c", 1, none)}},
		"exclusive together":       {trace: []Event{started(1, "w1", "b", 1, none), started(2, "w2", "c", 1, none)}, want: "alone"},
		"one task in two places":   {trace: []Event{started(1, "w1", "a", 1, none), started(2, "w2", "a", 2, none)}, want: "alone"},
		"resumed":                  {trace: []Event{started(1, "w1", "a", 1, none), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), started(3, "w2", "a", 2, "s")}},
		"never resumed":            {trace: []Event{started(1, "w1", "a", 1, none), ended(2, "w1", "a", 1, provider.PhaseStopped, "s")}, want: "resume"},
		"cancelled":                {trace: []Event{started(1, "w1", "a", 1, none), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), WorkEnded(3, "a")}},
		"resumed twice":            {trace: []Event{started(1, "w1", "a", 1, none), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), started(3, "w2", "a", 2, "s"), ended(4, "w2", "a", 2, provider.PhaseSucceeded, none), started(5, "w1", "a", 2, "s")}, want: "resume"},
		"resumed from the start":   {trace: []Event{started(1, "w1", "a", 1, none), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), EvictionRecorded(2, runOf("a", 1), "s"), started(3, "w2", "a", 2, none)}, want: "resume"},
		"never stopped":            {trace: []Event{started(1, "w1", "a", 1, none), EvictionRecorded(2, runOf("a", 1), "s")}, want: "resume"},
		"recorded otherwise":       {trace: []Event{started(1, "w1", "a", 1, none), ended(2, "w1", "a", 1, provider.PhaseStopped, "s"), EvictionRecorded(2, runOf("a", 1), "t"), started(3, "w2", "a", 2, "t")}, want: "resume"},
		"start soon after drain":   {trace: []Event{DrainAccepted(10, "south"), started(11, "w1", "a", 1, none)}},
		"start long after drain":   {trace: []Event{DrainAccepted(10, "south"), started(11+defaultDrain, "w1", "a", 1, none)}, want: "drain"},
		"start after restore":      {trace: []Event{DrainAccepted(10, "south"), DrainLifted(11, "south"), started(11+defaultDrain, "w1", "a", 1, none)}},
		"own answer":               {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", "x", false)}},
		"other's answer":           {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", "y", false)}, want: "answer"},
		"cut answer":               {trace: []Event{RequestSent(1, "d", "r", "xy"), RequestAnswered(2, "d", "r", "x", false)}, want: "answer"},
		"two answers":              {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", "x", false), RequestAnswered(3, "d", "r", "x", false)}, want: "answer"},
		"answer to nothing":        {trace: []Event{RequestAnswered(2, "d", "r", "x", false)}, want: "answer"},
		"refused":                  {trace: []Event{RequestSent(1, "d", "r", "x"), RequestAnswered(2, "d", "r", none, true)}},
		"refused after it ran":     {trace: []Event{RequestSent(1, "d", "r", "x"), RequestDispatched(1, "e", "r"), RequestAnswered(2, "d", "r", none, true)}, want: "not-run"},
		"work refused":             {trace: []Event{WorkAnswered(1, "a", true)}},
		"work runs after refusal":  {trace: []Event{WorkAnswered(1, "a", true), started(9, "w1", "a", 1, none)}, want: "not-run"},
		"work ran before refusal":  {trace: []Event{started(1, "w1", "a", 1, none), WorkAnswered(9, "a", true)}, want: "not-run"},
		"bill once":                {trace: []Event{started(1, "w1", "bill", 1, none)}},
		"bill twice":               {trace: []Event{started(1, "w1", "bill", 1, none), ended(2, "w1", "bill", 1, provider.PhaseLapsed, none), started(3, "w1", "bill", 2, none)}, want: "at-most-once"},
		"backend soon after":       {trace: []Event{BackendLeaving(1, "e"), RequestDispatched(2, "e", "r")}},
		"backend long after":       {trace: []Event{BackendLeaving(1, "e"), RequestDispatched(2+defaultLeaving, "e", "r")}, want: "leaving"},
		"task to leaving worker":   {trace: []Event{BackendLeaving(1, "w1"), started(2+defaultLeaving, "w1", "a", 1, none)}, want: "leaving"},
		"backend back":             {trace: []Event{BackendLeaving(1, "e"), BackendReturned(2, "e"), RequestDispatched(2+defaultLeaving, "e", "r")}},
		"shutdown answers":         {trace: []Event{RequestSent(1, "d", "r", "x"), ShutdownBegun(2, "d"), RequestAnswered(3, "d", "r", "x", false), DaemonStopped(4, "d")}},
		"shutdown cuts off":        {trace: []Event{RequestSent(1, "d", "r", "x"), ShutdownBegun(2, "d"), DaemonStopped(4, "d")}, want: "shutdown"},
		"kill cuts off":            {trace: []Event{RequestSent(1, "d", "r", "x"), DaemonKilled(4, "d")}},
		"config in time":           {trace: []Event{DaemonStarted(0, "d"), ConfigAccepted(1, 7), ConfigInForce(defaultConfig, "d", 7)}},
		"config late":              {trace: []Event{DaemonStarted(0, "d"), ConfigAccepted(1, 7), ConfigInForce(2+defaultConfig, "d", 7)}, want: "config"},
		"config never":             {trace: []Event{DaemonStarted(0, "d"), ConfigAccepted(1, 7)}, want: "config"},
		"config reverts":           {trace: []Event{DaemonStarted(0, "d"), ConfigInForce(1, "d", 7), ConfigInForce(2, "d", 6)}, want: "config"},
		"config older after start": {trace: []Event{DaemonStarted(0, "d"), ConfigInForce(1, "d", 7), DaemonKilled(2, "d"), DaemonStarted(3, "d"), ConfigInForce(4, "d", 6)}},
		"config while cut off":     {trace: []Event{DaemonStarted(0, "d"), ConfigCutOff(0, "d"), ConfigAccepted(1, 7)}},
		"config late after a cut":  {trace: []Event{DaemonStarted(0, "d"), ConfigCutOff(0, "d"), ConfigAccepted(1, 7), ConfigJoined(2, "d")}, want: "config"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			for _, e := range append(world, tc.trace...) {
				c.Add(e)
			}
			var rules []string
			for _, v := range c.Violations(end) {
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
