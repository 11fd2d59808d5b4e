package imitator

import (
	"context"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// poolWorker is one process of a worker.
	poolWorker struct {
		info scheduler.WorkerInfo
		// ctx is cancelled when the process is killed.
		ctx    context.Context
		cancel context.CancelFunc
		// clockRate is how fast the clock runs, 1 for exact.
		clockRate    float64
		bootedAt     clock.Millis
		highestEpoch int64
		leaseUntil   clock.Millis
		// leaseTimer ends the runs at leaseUntil.
		leaseTimer     *time.Timer
		runs           map[string]*poolRun
		highestAttempt map[string]int
		endedRuns      []poolEnd
		runEnded       chan struct{}
		lastEndNumber  int64
		// listedEnd is the highest number of an end that an answer has listed.
		listedEnd   int64
		partitioned bool
		// refusing is whether the process has crashed, so that its address refuses
		// connections; replaced is whether another one answers there since.
		refusing, replaced bool
		slots              int
	}

	poolRun struct {
		order   scheduler.Order
		timer   *time.Timer
		started clock.Millis
	}

	poolEnd struct {
		scheduler.EndedRun
		run taskRun
	}
)

func (w *poolWorker) dead() bool { return w.ctx.Err() != nil }

func (w *poolWorker) taskRun(r *poolRun) taskRun {
	return taskRun{worker: w.info.ID, born: w.info.Born, attempt: r.order.Attempt, started: r.started}
}

func (w *poolWorker) clock() clock.Millis {
	return clock.Millis(float64(clock.System()-w.bootedAt) * w.clockRate)
}
