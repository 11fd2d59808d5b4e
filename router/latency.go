package router

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Latency follows the latency of a stream of answers. It is safe for
	// concurrent use; an update that loses a race is left out.
	Latency struct {
		count atomic.Int64
		mean  atomic.Int64
		p95   atomic.Int64
		p99   atomic.Int64
	}
)

const (
	// latencyUnit is the number of units in a millisecond.
	latencyUnit = 1024
	meanShift   = 5
	// Each answer moves a quantile by up to 1/quantileStep of its value.
	quantileStep = 25
	minQuantile  = latencyUnit / 4
	// minCount answers are needed before quantiles are known.
	minCount = 100
)

// Observe takes the latency of an answer.
func (l *Latency) Observe(d clock.Millis) {
	x := int64(d) * latencyUnit
	l.count.Add(1)
	l.observeMean(x)
	moveQuantile(&l.p95, x, 95)
	moveQuantile(&l.p99, x, 99)
}

// Mean gives the moving average; 0 before the first answer.
func (l *Latency) Mean() clock.Millis { return toMillis(l.mean.Load()) }

// MeanMicros gives the moving average in microseconds.
func (l *Latency) MeanMicros() int64 { return l.mean.Load() * 1000 / latencyUnit }

// P95 gives an estimate of the latency that 95% of the answers stay under; 0
// while there are too few.
func (l *Latency) P95() clock.Millis { return l.quantile(&l.p95) }

// P99 gives an estimate of the latency that 99% of the answers stay under; 0
// while there are too few.
func (l *Latency) P99() clock.Millis { return l.quantile(&l.p99) }

func (l *Latency) quantile(q *atomic.Int64) clock.Millis {
	if l.count.Load() < minCount {
		return 0
	}
	return toMillis(q.Load())
}

func (l *Latency) observeMean(x int64) {
	m := l.mean.Load()
	if m == 0 {
		l.mean.CompareAndSwap(0, max(x, 1))
		return
	}
	l.mean.CompareAndSwap(m, max(m+(x-m)>>meanShift, 1))
}

// moveQuantile moves an estimate up or down so that it rests where the given
// share of the answers is below it (stochastic approximation).
func moveQuantile(q *atomic.Int64, x, percent int64) {
	v := q.Load()
	switch {
	case v == 0:
		q.CompareAndSwap(0, max(2*x, minQuantile))
	case x > v:
		q.CompareAndSwap(v, v+v*percent/(100*quantileStep)+1)
	default:
		q.CompareAndSwap(v, max(v-v*(100-percent)/(100*quantileStep), minQuantile))
	}
}

func toMillis(units int64) clock.Millis {
	return clock.Millis((units + latencyUnit - 1) / latencyUnit)
}
