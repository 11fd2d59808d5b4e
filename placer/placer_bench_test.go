package placer

import (
	"fmt"
	"strconv"
	"testing"

	"galenawharf.example/galenawharf/clock"
)

// benchCluster returns n workers with 11 or 12 tasks each, 12,650 tasks on 1,100 workers.
func benchCluster(n int) []Worker {
	workers := make([]Worker, 0, n)
	for i := range n {
		var residents []Task
		for r := range 11 + i%2 {
			id := strconv.Itoa(i) + "/" + strconv.Itoa(r)
			team := "team" + strconv.Itoa((i*11+r)%280)
			class := "class" + strconv.Itoa((i+r)%12)
			k, cores := Batch, int64(2+r%2)
			if r%5 < 2 {
				k, cores = Service, 1
			}
			residents = append(residents, NewTask(id, team, "w"+strconv.Itoa((i+r)%400), class, k, sizeGiB(cores, 4, 0)))
		}
		capacity := sizeGiB(32, 125, int64(i%2)*4)
		workers = append(workers, workerOf("w"+strconv.Itoa(i), "r"+strconv.Itoa(i/16), capacity, residents...).WithRevision(int64(i+1)))
	}
	return workers
}

// BenchmarkPlace measures one placement. Each call of Place gets 20 new tasks, which is the
// load of a quarter of a second at 78 starts a second. After each call 20 workers get a new
// revision.
func BenchmarkPlace(b *testing.B) {
	const perCall = 20
	for _, backlog := range []int{0, 1000} {
		for _, n := range []int{50, 138, 1100} {
			b.Run(fmt.Sprintf("backlog=%d/workers=%d", backlog, n), func(b *testing.B) {
				p := newPlacer(b)
				workers := benchCluster(n)
				for i := range 280 {
					p.SetQuota("team"+strconv.Itoa(i), sizeGiB(2000, 8000, 100))
				}
				var stuck []Task
				for i := range backlog {
					stuck = append(stuck, NewTask("s"+strconv.Itoa(i), "team"+strconv.Itoa(i%280), "stuck"+strconv.Itoa(i%50), "class1", Batch, sizeGiB(31, 120, 0)))
				}
				p.Place(1, nil, workers)
				revision := int64(n + 1)
				b.ReportAllocs()
				b.ResetTimer()
				for done := 0; done < b.N; done += perCall {
					waiting := make([]Task, 0, perCall+backlog)
					for i := range perCall {
						id := strconv.Itoa(done + i)
						waiting = append(waiting, NewTask(id, "team"+strconv.Itoa((done+i)%280), "j"+id, "class"+strconv.Itoa(i%12), Batch, sizeGiB(1, 2, 0)))
					}
					waiting = append(waiting, stuck...)
					p.Place(clock.Millis(done+2), waiting, workers)
					for i := range perCall {
						at := (done + i) % n
						revision++
						workers[at] = workers[at].WithRevision(revision)
					}
				}
			})
		}
	}
}
