package meter

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const (
	// The load that the project is designed for: 12,200 tasks on 1,100 workers, of
	// about 1,000 workloads that run in 3 data centres each.
	tasksPerWorker     = 11
	workloadsPerWorker = 3
)

// BenchmarkMeter measures the metering of one hour of a shard by its number of workers: a
// sixth of the tasks end and start again, and the hour's usage record is computed. It
// reports the sizes of the record and the snapshot.
func BenchmarkMeter(b *testing.B) {
	for _, workers := range []int{50, 138, 1100} {
		b.Run(fmt.Sprint(workers, "-workers"), func(b *testing.B) {
			m := New(shard)
			workloads := workers * workloadsPerWorker
			event := func(at clock.Millis, n int, i int64, s schema.TaskState) {
				w := NewWorkload(fmt.Sprint("team-", n%280), fmt.Sprint("work-", n%workloads), sizer.New(2000, sizer.GiB, 0), n%2 == 0)
				m.Apply(0, at, &schema.TaskEvent{Task: fmt.Sprint("task-", n), Incarnation: i, State: s, Reservation: w.Reservation()})
			}
			for n := range workers * tasksPerWorker {
				event(testStart, n, 1, starting)
			}
			now, hour := testStart, int64(1)
			var u *schema.Usage
			b.ReportAllocs()
			for b.Loop() {
				for n := 0; n < workers*tasksPerWorker; n += 6 {
					event(now+clock.Minute, n, hour, succeeded)
					event(now+clock.Minute, n, hour+1, starting)
				}
				hour++
				now += clock.Hour
				u = m.Due(now + clock.Hour)
				m.ApplyUsage(u)
			}
			b.ReportMetric(float64(proto.Size(u)), "record-bytes")
			b.ReportMetric(float64(proto.Size(m.Snapshot())), "snapshot-bytes")
		})
	}
}
