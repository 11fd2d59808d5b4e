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
	// tasksPerWorker and worksPerWorker are those of the target: 12,200 tasks and
	// about 1,000 works in 3 data centres each, on 1,100 workers.
	tasksPerWorker = 11
	worksPerWorker = 3
)

// BenchmarkMeter gives what an hour of a shard costs by its number of workers:
// the record of the hour, a start and an end of a sixth of its tasks, and
// the sizes of record and snapshot.
func BenchmarkMeter(b *testing.B) {
	for _, workers := range []int{50, 138, 1100} {
		b.Run(fmt.Sprint(workers, "-workers"), func(b *testing.B) {
			m := New(shard)
			works := workers * worksPerWorker
			event := func(at clock.Millis, n int, i int64, s schema.TaskState) {
				w := NewWork(fmt.Sprint("team-", n%280), fmt.Sprint("work-", n%works), sizer.New(2000, sizer.GiB, 0), n%2 == 0)
				m.Apply(0, at, &schema.TaskEvent{Task: fmt.Sprint("task-", n), Incarnation: i, State: s, Reservation: w.Reservation()})
			}
			for n := range workers * tasksPerWorker {
				event(epoch, n, 1, starting)
			}
			now, hour := epoch, int64(1)
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
				m.Recorded(u)
			}
			b.ReportMetric(float64(proto.Size(u)), "record-bytes")
			b.ReportMetric(float64(proto.Size(m.Snapshot())), "snapshot-bytes")
		})
	}
}
