package main

import (
	"fmt"
	"strings"
	"sync"

	"galenawharf.example/galenawharf/clock"
)

const (
	// wideCount is the number of tasks of each step of an occurrence of the large job, calmCount the same
	// without the disruption.
	wideCount, calmCount = 160, 5
	wideRepeat           = 8
	widePeriod           = 500 * clock.Millis(1)
	// lastTime is how long the tasks of its last step run, in ms.
	lastTime = 5400
	// specBytes is the size of the text of the large job, the most that a consumer may send.
	specBytes = 4000
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
		short := wireStep{Count: count, CPU: 100, MemMB: 16, EstimateMS: 50}
		last := wireStep{Count: count, CPU: 100, MemMB: 16, EstimateMS: lastTime, After: []int{0, 1, 2, 3}}
		text := fmt.Sprintf("50,50,50,50,%d ", lastTime)
		text += strings.Repeat("x", specBytes-len(text))
		j := w.newJob("large", text, []wireStep{short, short, short, short, last})
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
