package main

import (
	"sync"

	"galenawharf.example/galenawharf/clock"
)

const (
	// wideCount is the number of tasks of the first step of an occurrence of the large job, calmCount
	// the same without the disruption.
	wideCount, calmCount = 500, 5
	wideRepeat           = 14
	widePeriod           = 2 * clock.Second
	// trafficTime is how long small jobs are sent, one each smallInterval.
	trafficTime   = 50 * clock.Second
	smallInterval = 500 * clock.Millis(1)
)

// playWide sends small jobs all the while, and once a large job whose occurrences overlap.
func playWide(w *world, trouble bool) ([]string, bool) {
	until := w.rec.now() + trafficTime
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		count := calmCount
		if trouble {
			count = wideCount
		}
		sleep(2 * clock.Second)
		j := w.newJob("large", "50,30000", []wireStep{
			{Count: count, CPU: 100, MemMB: 16, EstimateMS: 50},
			{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 30000, After: []int{0}},
		})
		j.repeat = wideRepeat
		w.submit(j, widePeriod, 4)
	}()
	for w.rec.now() < until {
		j := w.newJob("small", "2000,2000", []wireStep{
			{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 2000},
			{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 2000, After: []int{0}},
		})
		group.Add(1)
		go func() {
			defer group.Done()
			w.submit(j, 0, 4)
		}()
		sleep(smallInterval)
	}
	group.Wait()
	return w.judgeLost(), true
}
