package scheduler

import (
	"fmt"
	"testing"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// BenchmarkPackingRound measures rounds of placing on workers of which long-running tasks hold four
// fifths, while small tasks arrive, and large ones of which some wait or none. The metric ns/round is
// the time of the rounds alone.
func BenchmarkPackingRound(b *testing.B) {
	for _, workers := range []int{490, 1430} {
		b.Run(fmt.Sprintf("workers=%d/waiting=no", workers), func(b *testing.B) { benchmarkPackingRound(b, workers, 100, 0) })
		b.Run(fmt.Sprintf("workers=%d/waiting=yes", workers), func(b *testing.B) { benchmarkPackingRound(b, workers, 220, 8) })
	}
}

// benchmarkPackingRound places small and large tasks, so many a second for a hundred workers.
func benchmarkPackingRound(b *testing.B, workers, small, large int) {
	const interval = 15 * clock.Millis(1)
	m := newMixFleet(b, workers, 4*workers, 13_000)
	smalls, larges := 0, 0
	var spent time.Duration
	for i := range b.N {
		m.clock.Advance(interval)
		for id := range m.workers {
			if i%20 == 0 {
				m.Lease(id, 1)
			}
			for _, end := range m.ends[id] {
				if end <= m.clock.Now() {
					m.reportRuns(id)
					break
				}
			}
		}
		for ; smalls < (i+1)*small*workers*int(interval)/100_000; smalls++ {
			m.submitOne(b, fmt.Sprint("s", smalls), 4000)
		}
		for ; larges < (i+1)*large*workers*int(interval)/100_000; larges++ {
			m.submitOne(b, fmt.Sprint("l", larges), int64(10_000+1000*m.random.IntN(3)))
		}
		began := time.Now()
		m.Place()
		spent += time.Since(began)
		m.TakeImmediateOrders()
		for _, o := range m.storeBatch(m.TakeBatch()) {
			m.OrderAnswered(o, Done)
			if m.ends[o.Worker] == nil {
				m.ends[o.Worker] = map[Order]clock.Millis{}
			}
			m.ends[o.Worker][o] = m.clock.Now() + m.runTime(o)
		}
	}
	b.ReportMetric(float64(spent)/float64(b.N), "ns/round")
	if len(m.waits['s']) > 0 {
		b.ReportMetric(float64(m.waitAt('s', 0.99)), "small-p99-ms")
	}
	if len(m.waits['l']) > 0 {
		b.ReportMetric(float64(m.waitAt('l', 0.99)), "large-p99-ms")
	}
}
