package soaker

import (
	"fmt"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
)

type (
	// Counts are the numbers of what happened in a soak test.
	Counts struct {
		// Accepted, Refused and Completed are jobs; CalmAccepted are those accepted before
		// the first fault.
		Accepted, CalmAccepted, Refused, Completed int
		// GivenUp are accepted jobs that have failed after two workers had crashed under a task.
		GivenUp int
		// Workers is what happened to the workers, LateOrders are orders that they carried
		// out late.
		Workers    imitator.PoolCounts
		LateOrders int
		// Killed and OwnExits are ends of daemons, by signals sent to them and by
		// themselves with an error.
		Killed, OwnExits int
		Faults           int
		// Gaps are the times that tasks which last were without a run, LongestGap is the
		// longest.
		Gaps       int
		LongestGap clock.Millis
		// Tenants is nil in a soak test without tenants.
		Tenants *TenantCounts
	}

	// floor is a count, what it counts, and the least that it must be.
	floor struct {
		what       string
		count, min int
	}
)

// minTasks is the smallest number of tasks of a job.
const minTasks = 2

func (c Counts) String() string {
	text := fmt.Sprintf("%d jobs accepted (%d before the faults), %d refused, %d completed, %d given up after two crashes; %d runs started, %d ends acknowledged, %d polls with a stale number, %d leases shortened; %d worker restarts, %d late orders; %d daemons killed, %d ended by themselves; %d faults; tasks that last were without a run %d times, for up to %d ms",
		c.Accepted, c.CalmAccepted, c.Refused, c.Completed, c.GivenUp, c.Workers.Starts, c.Workers.AckedEnds, c.Workers.StaleAcks, c.Workers.CappedLeases, c.Workers.Restarts, c.LateOrders, c.Killed, c.OwnExits, c.Faults, c.Gaps, c.LongestGap)
	if c.Tenants != nil {
		text += "; " + c.Tenants.String()
	}
	return text
}

// belowFloors returns a violation for each count that is so low that the soak test has not
// tested what it is meant to. The floors follow from the settings.
func (c Counts) belowFloors(s Settings) []string {
	jobs := s.minJobs()
	cycles := int(s.FaultDuration / maxCycle)
	var violations []string
	for _, f := range append([]floor{
		{"jobs accepted before the faults", c.CalmAccepted, jobs},
		{"jobs completed", c.Completed, jobs},
		{"runs started", c.Workers.Starts, minTasks * max(jobs, c.Completed)},
		{"ends acknowledged", c.Workers.AckedEnds, minTasks * jobs},
		{"faults injected", c.Faults, int(s.FaultDuration / maxGap)},
		{"worker restarts", c.Workers.Restarts, cycles},
		{"late orders", c.LateOrders, min(1, cycles)},
		{"daemons killed", c.Killed, cycles},
		{"times that tasks which last were without a run", c.Gaps, lastingTasks + 1},
	}, c.Tenants.floors()...) {
		if f.count < f.min {
			violations = append(violations, fmt.Sprintf("below the floor: %s: %d, at least %d expected", f.what, f.count, f.min))
		}
	}
	return violations
}

// minJobs is a tenth of the jobs that the callers could submit in CalmDuration if each was
// accepted at once.
func (s Settings) minJobs() int {
	return callerCount * int(s.CalmDuration) / (maxSubmitGapMillis / 2) / 10
}
