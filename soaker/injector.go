package soaker

import (
	"log"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

const (
	// minGap and maxGap bound the time from the beginning of one fault to that of the next.
	// Most faults last longer, so they overlap.
	minGap = 200 * clock.Millis(1)
	maxGap = 1600 * clock.Millis(1)
)

var (
	// faultKinds are the kinds of faults. Each cycle has one fault of each, in random order.
	faultKinds = []func(*Soak) fault{(*Soak).kill, (*Soak).disturb, (*Soak).disturbWorker, (*Soak).disturbWorker, (*Soak).restart, (*Soak).delayOrders}
	// maxCycle is the longest time from the first fault of a cycle to the first of the next.
	maxCycle = clock.Millis(len(faultKinds)) * maxGap
)

// injectFaults injects random faults for Settings.FaultDuration, and returns once all have
// ended. It logs them to a file beside the logs of the hosts.
func (k *Soak) injectFaults() error {
	f, err := os.Create(filepath.Join(k.settings.Dir, "faults.log"))
	if err != nil {
		return errors.Wrap(err, "soaker.Soak.injectFaults")
	}
	l := log.New(f, "", log.Lmicroseconds|log.LUTC)
	var group sync.WaitGroup
	deadline := time.Now().Add(k.settings.FaultDuration.Duration())
	inject := func(f fault) {
		defer k.disruptions.Begin()()
		l.Print("begin " + f.name)
		f.run()
		l.Print("end " + f.name)
	}
	group.Go(func() { k.starveHosts(deadline, inject) })
	for time.Now().Before(deadline) {
		for _, i := range k.random.Perm(len(faultKinds)) {
			if !time.Now().Before(deadline) {
				break
			}
			f := faultKinds[i](k)
			k.faults++
			group.Go(func() { inject(f) })
			time.Sleep((minGap + k.millis(int(maxGap-minGap))).Duration())
		}
	}
	group.Wait()
	k.closingFaults(inject)
	select {
	case err := <-k.failed:
		return err
	default:
		return errors.Wrap(f.Close(), "soaker.Soak.injectFaults")
	}
}
