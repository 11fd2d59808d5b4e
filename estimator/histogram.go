package estimator

import (
	"math"
	"slices"

	"galenawharf.example/galenawharf/clock"
)

type (
	// histogram counts values in buckets whose bounds grow by a constant factor. Newer
	// observations have larger weights, which has the same effect as decaying the older
	// ones.
	histogram struct {
		buckets []bucket
		weight  float64
	}

	// bucket is a nonempty bucket; upperBound returns the bound of its number.
	bucket struct {
		number int
		weight float64
	}
)

const (
	// bucketsPerDoubling is the number of buckets between a bound and its double.
	bucketsPerDoubling = 8
	// rescaleHalfLives is the number of half-lives after which the weights are rescaled.
	rescaleHalfLives = 500
)

// weight returns the weight of a new observation at now. It doubles with each half-life.
func (e *Estimator) weight(now clock.Millis) float64 {
	if e.weightReference == 0 {
		e.weightReference = now
	}
	if now-e.weightReference > rescaleHalfLives*e.halfLife {
		e.rescale(now)
	}
	return math.Exp2(float64(now-e.weightReference) / float64(e.halfLife))
}

// rescale scales all weights down before they overflow a float64.
func (e *Estimator) rescale(now clock.Millis) {
	factor := math.Exp2(-float64(now-e.weightReference) / float64(e.halfLife))
	for _, f := range e.families {
		f.millicores.scale(factor)
		f.memory.scale(factor)
		f.runTime.scale(factor)
		f.ratio.scale(factor)
	}
	e.weightReference = now
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

// quantile returns the upper bound of the bucket in which the cumulative weight reaches
// the fraction q of the total; 0 if there are no observations.
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
	return int(math.Ceil(math.Log2(float64(max(value, 1))) * bucketsPerDoubling))
}

func upperBound(n int) int64 {
	return int64(math.Ceil(math.Exp2(float64(n) / bucketsPerDoubling)))
}
