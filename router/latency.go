package router

import (
	"sync/atomic"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Latency tracks a moving average and high quantiles of a stream of latencies. It is
	// safe for concurrent use; an update that loses a race is dropped.
	Latency struct {
		count atomic.Int64
		mean  atomic.Int64
		p95   atomic.Int64
		p99   atomic.Int64
	}
)

const (
	// latencyUnit is the number of internal units in a millisecond.
	latencyUnit = 1024
	// meanShift is the smoothing of the mean: an observation has a weight of 1/32.
	meanShift = 5
	// quantileStep limits the change of a quantile by one observation to 1/quantileStep of
	// its value.
	quantileStep = 25
	// minQuantile is the smallest estimate of a quantile; 0 stands for unknown.
	minQuantile = latencyUnit / 4
	// minCount is the number of observations before quantiles are returned.
	minCount = 100
)

// Observe adds the latency of an answer.
func (l *Latency) Observe(d clock.Millis) {
	x := int64(d) * latencyUnit
	l.count.Add(1)
	l.updateMean(x)
	updateQuantile(&l.p95, x, 95)
	updateQuantile(&l.p99, x, 99)
}

// Mean returns the moving average; 0 before the first answer.
func (l *Latency) Mean() clock.Millis { return toMillis(l.mean.Load()) }

// MeanMicros returns the moving average in microseconds; 0 before the first answer.
func (l *Latency) MeanMicros() int64 { return l.mean.Load() * 1000 / latencyUnit }

// P95 returns an estimate of the 95th percentile; 0 for fewer than 100 answers.
func (l *Latency) P95() clock.Millis { return l.quantile(&l.p95) }

// P99 returns an estimate of the 99th percentile; 0 for fewer than 100 answers.
func (l *Latency) P99() clock.Millis { return l.quantile(&l.p99) }

func (l *Latency) quantile(q *atomic.Int64) clock.Millis {
	if l.count.Load() < minCount {
		return 0
	}
	return toMillis(q.Load())
}

func (l *Latency) updateMean(x int64) {
	m := l.mean.Load()
	if m == 0 {
		l.mean.CompareAndSwap(0, max(x, 1))
		return
	}
	l.mean.CompareAndSwap(m, max(m+(x-m)>>meanShift, 1))
}

// updateQuantile moves an estimate up or down by an observation. The steps balance where
// the given percentage of observations is below the estimate (stochastic approximation).
func updateQuantile(q *atomic.Int64, x, percent int64) {
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

// toMillis converts internal units to milliseconds, rounded up.
func toMillis(units int64) clock.Millis {
	return clock.Millis((units + latencyUnit - 1) / latencyUnit)
}
