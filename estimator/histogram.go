package estimator

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// histogram counts values in buckets whose bounds grow by a constant
	// factor. Weights grow with time instead of being made to decay.
	histogram struct {
		buckets []bucket
		weight  float64
	}

	bucket struct {
		number int
		weight float64
	}
)

const (
	// perOctave is the number of buckets between a bound and its double.
	perOctave = 8
	// rebaseAfter is in half-lives.
	rebaseAfter = 500
)

// weight gives what an observation at a moment counts beside older ones.
func (e *Estimator) weight(now clock.Millis) float64 {
	if e.begun == 0 {
		e.begun = now
	}
	if now-e.begun > rebaseAfter*e.halfLife {
		e.rebase(now)
	}
	return math.Exp2(float64(now-e.begun) / float64(e.halfLife))
}

// rebase scales every weight down before a float64 would overflow.
func (e *Estimator) rebase(now clock.Millis) {
	factor := math.Exp2(-float64(now-e.begun) / float64(e.halfLife))
	for _, f := range e.families {
		f.millicores.scale(factor)
		f.memory.scale(factor)
		f.runTime.scale(factor)
	}
	e.begun = now
}

func (h *histogram) scale(factor float64) {
	h.weight *= factor
	for i := range h.buckets {
		h.buckets[i].weight *= factor
	}
}

func (h *histogram) add(weight float64, value int64) {
	n := bucketOf(value)
	h.weight += weight
	i, found := slices.BinarySearchFunc(h.buckets, n, func(b bucket, n int) int { return b.number - n })
	if found {
		h.buckets[i].weight += weight
		return
	}
	h.buckets = slices.Insert(h.buckets, i, bucket{number: n, weight: weight})
}

// quantile gives the upper bound of the bucket in which a share q of the
// weight is reached.
func (h *histogram) quantile(q float64) int64 {
	var sum float64
	for _, b := range h.buckets {
		sum += b.weight
		if sum >= q*h.weight {
			return upperBound(b.number)
		}
	}
	return 0
}

func bucketOf(value int64) int {
	return int(math.Ceil(math.Log2(float64(max(value, 1))) * perOctave))
}

func upperBound(n int) int64 {
	return int64(math.Ceil(math.Exp2(float64(n) / perOctave)))
}
