package soaker

import "fmt"

type (
	// Counts are the numbers of what happened in a soak test.
	Counts struct {
		// Accepted, Refused and Completed are jobs.
		Accepted, Refused, Completed int
		// Runs were started by workers; AckedEnds are the ends that were acknowledged to
		// them, and StaleAcks the polls that acknowledged more than a worker had listed.
		Runs, AckedEnds, StaleAcks int
		// Restarts are those of workers; LateOrders were carried out late.
		Restarts, LateOrders int
		// Killed and OwnExits are ends of daemons, by signals sent to them and by
		// themselves with an error.
		Killed, OwnExits int
		Faults           int
	}
)

func (c Counts) String() string {
	return fmt.Sprintf("%d jobs accepted %d refused, %d completed; %d runs started, %d ends acknowledged, %d polls with a stale number; %d worker restarts, %d late orders; %d daemons killed, %d ended by themselves; %d faults",
		c.Accepted, c.Refused, c.Completed, c.Runs, c.AckedEnds, c.StaleAcks, c.Restarts, c.LateOrders, c.Killed, c.OwnExits, c.Faults)
}
