package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// Report is what a worker lists of its runs.
	Report struct {
		Worker string
		Born   int64
		// Clock is the worker's clock when it answered.
		Clock clock.Millis
		// Sent is when the report was asked for, by the clock of this host.
		Sent   clock.Millis
		Active []ActiveRun
		Ended  []EndedRun
	}

	// ActiveRun is a run at work.
	ActiveRun struct {
		Task       string
		Attempt    int
		Checkpoint string
		// Percent is the progress, 100 for a long-running task at work.
		Percent int
		// Gauge is the tail latency in ms of a task that serves, else the
		// processor use in thousandths of a core.
		Gauge int64
	}

	// EndedRun is a run that is over.
	EndedRun struct {
		// Number counts the ends in one life of the worker, from 1.
		Number     int64
		Task       string
		Attempt    int
		How        Ending
		Checkpoint string
	}

	// Ending is how a run ended.
	Ending string
)

// Endings.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken Ending = "broken"
	// EndAlone: the other members of the gang did not come in time.
	EndAlone Ending = "alone"
)
