package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/platform/imitation"
)

// worker is a worker of the stand-in, behind a proxy of its own.
type worker struct {
	id   string
	pool *imitator.Pool
	// disruptions has the late orders among the others.
	disruptions *imitator.Disruptions
	handler     *imitation.Worker
	proxy       *proxy
	// restarting is held during a restart: restarts of one worker follow each other.
	restarting sync.Mutex
	// left is whether the worker has left for good.
	left atomic.Bool
	// lateFaults is the number of current faults that make orders late.
	lateFaults atomic.Int32
	mu         sync.Mutex
	random     *rand.Rand
}

const (
	// On average, during a fault, one order in lateOneIn is carried out late.
	lateOneIn = 2
	// minLateMillis and maxLateMillis bound the delay of a late order.
	minLateMillis, maxLateMillis = 2000, 6000
)

func (k *Soak) startWorker(i int) error {
	w := &worker{id: fmt.Sprintf("w%d", i), pool: k.pool, disruptions: &k.disruptions, random: rand.New(rand.NewPCG(k.settings.Seed, uint64(100+i)))}
	w.handler = imitation.NewWorker(k.pool, w.id, imitation.WithOrderDelay(w.orderDelay))
	address, err := k.serve(&http.Server{Handler: w.handler, ConnContext: w.handler.ConnContext})
	if err != nil {
		return err
	}
	w.proxy, err = newProxy(address)
	if err != nil {
		return errors.Wrap(err, "soaker.Soak.startWorker")
	}
	k.workers = append(k.workers, w)
	return nil
}

// orderDelay returns the delay of the next order, 0 for none.
func (w *worker) orderDelay() clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lateFaults.Load() == 0 || w.random.IntN(lateOneIn) != 0 {
		return 0
	}
	d := clock.Millis(minLateMillis + w.random.IntN(maxLateMillis-minLateMillis))
	time.AfterFunc(d.Duration(), w.disruptions.Begin())
	return d
}

// leave ends the worker for good. Connections to it are refused, or what is sent to it is lost.
func (w *worker) leave(refused bool) {
	if refused {
		w.proxy.refuse()
	} else {
		w.proxy.setFault(linkFault{responses: dropped, requests: dropped})
	}
	w.left.Store(true)
	w.pool.Kill(w.id)
}

// restart kills the worker and starts it again after it was down for a while, during which
// connections to it are refused.
func (w *worker) restart(down clock.Millis) error {
	w.restarting.Lock()
	defer w.restarting.Unlock()
	if w.left.Load() {
		return nil
	}
	if down == 0 {
		w.pool.Restart(w.id)
		return nil
	}
	w.proxy.refuse()
	w.pool.Kill(w.id)
	time.Sleep(down.Duration())
	if w.left.Load() {
		return nil
	}
	w.pool.Boot(w.id)
	return w.proxy.accept()
}
