package main

import (
	"fmt"
	"sync"

	"galenawharf.example/galenawharf/clock"
)

const (
	// servingImages is the number of images of tasks that serve, imagesPerRelease that of jobs that fill at
	// a time; as on xg-wharf. Each executor runs one task of each.
	servingImages, imagesPerRelease = 5, 9
	// releases is the number of batches of jobs that fill, one each releaseInterval. Their tasks run for
	// fillTime.
	releases        = 24
	releaseInterval = 3200 * clock.Millis(1)
	fillTime        = 2200 * clock.Millis(1)
	// servingTarget is the bound of the response times of tasks that serve, in ms. Theirs are a tenth of
	// it, as they have little to do.
	servingTarget = 500
)

// playImages sends jobs that fill beside tasks that serve, in batches. With the disruption the jobs of
// each batch have new images, as after a release of what they run, else always the same.
func playImages(w *world, trouble bool) ([]string, bool) {
	for i := range servingImages {
		j := w.newJob("serve", "0", []wireStep{{
			Count: len(w.executors), CPU: 800, MemMB: 512, EstimateMS: 1000, LongRunning: true, AntiAffinity: 1, TargetMS: servingTarget, Image: imageName("serve", i, 0),
		}})
		if !w.submit(j, 0, 4) {
			return nil, false
		}
	}
	until := w.rec.now() + releases*releaseInterval
	var group sync.WaitGroup
	group.Go(func() {
		for w.rec.now() < until {
			j := w.newJob("small", "1000,1000", []wireStep{
				{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 1000},
				{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 1000, After: []int{0}},
			})
			group.Go(func() { w.submit(j, 0, 4) })
			sleep(smallInterval)
		}
	})
	for k := range releases {
		release := 0
		if trouble {
			release = k
		}
		for i := range imagesPerRelease {
			j := w.newJob("fill", fmt.Sprint(int64(fillTime)), []wireStep{{
				Count: len(w.executors), CPU: 500, MemMB: 128, EstimateMS: int64(fillTime), AntiAffinity: 1, Utilization: true, Image: imageName("fill", i, release),
			}})
			group.Go(func() { w.submit(j, 0, 4) })
		}
		sleep(releaseInterval)
	}
	group.Wait()
	return w.judgeLost(), true
}

// imageName returns the name of an image as registries of images write it: with a digest.
func imageName(kind string, i, release int) string {
	return fmt.Sprintf("registry.example/crossing-faults/%s-%02d:release-%04d@sha256:%064x", kind, i, release, (i+1)*1_000_003+release)
}
