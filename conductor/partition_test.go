package conductor_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/scheduler"
)

// TestShortPartitionKeepsRuns partitions a worker from all daemons for three quarters of
// its lease and checks that its run is not lost, whenever the partition starts relative
// to the polls.
func TestShortPartitionKeepsRuns(t *testing.T) {
	// partitionLength is three quarters of testLease.
	const partitionLength = 4500 * time.Millisecond
	for offset := time.Duration(0); offset < 2*time.Second; offset += 100 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := imitator.NewKeyedLog(4, nil)
				p := imitator.NewPool(1, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 20_000, scheduler.EndDone }, nil)
				p.Register(l)
				d := startDaemon("a", l, p, nil)
				defer d.elector.Close()
				c := awaitLeader(d)
				must.NoError(t, c.Submit(t.Context(), scheduler.Spec{
					ID: fmt.Sprintf("%016x", 1), Queue: scheduler.Queue{Name: "q", Service: "pool", MaxAttempts: 3, Slack: 2}, Steps: []scheduler.Step{{Count: 1, CPU: 1000}},
				}))
				time.Sleep(3*time.Second + offset)
				p.SetPartitioned("w0", true)
				time.Sleep(partitionLength)
				p.SetPartitioned("w0", false)
				time.Sleep(10 * time.Second)
				must.Eq(t, 1, p.Starts(), must.Sprint("the lease expired and the run was restarted"))
				must.SliceEmpty(t, p.Violations())
			})
		})
	}
}
