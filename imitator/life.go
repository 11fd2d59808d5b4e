package imitator

import (
	"context"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/scheduler"
)

// Life is one process of a worker. Unlike a call of Pool.Fleet, a call of a Life is carried
// out by that process or not at all, as on a connection that the process has accepted.
type Life struct {
	pool   *Pool
	worker *poolWorker
}

// Life returns the current process of a worker, or the last one while the worker is down.
func (p *Pool) Life(id string) *Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Life{pool: p, worker: p.workers[id]}
}

// Context returns a context that is cancelled when the process is killed.
func (l *Life) Context() context.Context { return l.worker.ctx }

// Ended reports whether the process was killed.
func (l *Life) Ended() bool { return l.worker.dead() }

// Clock returns the reading of the process's clock.
func (l *Life) Clock() clock.Millis { return l.worker.clock() }

// Send carries out an order, whatever its Worker and Born. The outcome is Unclear if the
// process was killed before.
func (l *Life) Send(o scheduler.Order, epoch int64) scheduler.Outcome {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.pool.execute(l.worker, o, epoch)
}

// Poll carries out a poll, whatever its Worker and Born. The outcome is Unclear if the
// process is killed before the answer.
func (l *Life) Poll(ctx context.Context, q conductor.PollRequest, epoch int64) (scheduler.Report, scheduler.Outcome) {
	q.Born = l.worker.info.Born
	return l.pool.pollWorker(ctx, l.worker, q, epoch)
}
