package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// Report is a worker's list of its active runs, and of its ended runs that are not
	// acknowledged yet.
	Report struct {
		Worker string
		// Born is the Unix time of the worker's start, which identifies its process.
		Born int64
		// Clock is the worker's clock when it answered.
		Clock clock.Millis
		// Sent is when the report was requested, on the clock of this host.
		Sent   clock.Millis
		Active []ActiveRun
		Ended  []EndedRun
	}

	// ActiveRun is a run that is in progress.
	ActiveRun struct {
		Task       string
		Attempt    int
		Checkpoint string
		// Percent is the progress; for a long-running task 100 means that it is working.
		Percent int
		// Measurement is the measured tail latency of a serving task in ms, or the measured
		// processor use of another task in thousandths of a core.
		Measurement int64
	}

	// EndedRun is a run that has ended.
	EndedRun struct {
		// Number is the position of the run among the ended runs of its worker process,
		// from 1.
		Number     int64
		Task       string
		Attempt    int
		How        Ending
		Checkpoint string
	}

	// Ending is how a run ended.
	Ending string
)

// Endings of a run.
const (
	EndDone   Ending = "done"
	EndFailed Ending = "failed"
	// EndStopped: an order stopped the run.
	EndStopped Ending = "stopped"
	// EndLapsed: the worker's lease expired.
	EndLapsed Ending = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken Ending = "broken"
	// EndAlone: the other members of the gang didn't start in time.
	EndAlone Ending = "alone"
)
