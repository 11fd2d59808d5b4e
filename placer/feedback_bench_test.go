package placer

import (
	"fmt"
	"runtime"
	"testing"

	"galenawharf.example/galenawharf/clock"
)

// newRunningPlacer returns a Placer with a full cluster of running tasks, the workers,
// and the heap bytes that the Placer uses.
func newRunningPlacer(b *testing.B, n int) (*Placer, []Worker, uint64) {
	b.Helper()
	workers := benchCluster(n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newPlacer(b)
	p.Place(1, nil, workers)
	for _, w := range workers {
		for _, t := range w.residents {
			p.Started(1, t, w.name)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return p, workers, after.HeapAlloc - before.HeapAlloc
}

func samplesOf(w Worker, from, until clock.Millis) []Usage {
	var out []Usage
	for _, t := range w.residents {
		out = append(out, NewUsage(t.id, from, until, t.size.Millicores()/2, t.size.MemoryBytes()/2, 800))
	}
	return out
}

// BenchmarkObserve measures processing one worker's usage samples, and the Placer's heap
// per worker.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{50, 138, 1100} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, workers, heap := newRunningPlacer(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w := workers[i%n]
				now := clock.Millis(i/n+2) * 10 * clock.Second
				p.Observe(now, w.name, w.capacity, samplesOf(w, now-10*clock.Second, now))
			}
			b.ReportMetric(float64(heap)/float64(n), "heap-B/worker")
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkControl measures one call of Control for all workers.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{50, 138, 1100} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, workers, _ := newRunningPlacer(b, n)
			for _, w := range workers {
				p.Observe(20*clock.Second, w.name, w.capacity, samplesOf(w, 1, 10*clock.Second))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.Control(clock.Millis(i)*clock.Second+clock.Minute, workers)
			}
		})
	}
}
