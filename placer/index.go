package placer

import (
	"math/bits"

	"galenawharf.example/galenawharf/sizer"
)

type (
	// index finds workers with enough room without scanning all of them. Workers are in
	// buckets by the logarithm of their free processors; workers with free accelerators
	// have buckets of their own.
	index struct {
		byName           map[string]*indexedWorker
		plain            [bucketCount][]*indexedWorker
		withAccelerators [bucketCount][]*indexedWorker
		replicasInDomain map[domainKey]int
		largestCapacity  sizer.Size
	}
)

const (
	bucketCount = 48
	// bucketUnit is the upper bound of the first bucket, in millicores.
	bucketUnit = 250
)

func newIndex() *index {
	return &index{byName: map[string]*indexedWorker{}, replicasInDomain: map[domainKey]int{}}
}

func bucketIndex(s sizer.Size) int {
	return min(bits.Len64(uint64(max(s.Millicores(), 0)/bucketUnit)), bucketCount-1)
}

func (x *index) bucketFor(e *indexedWorker) *[]*indexedWorker {
	if e.free.Accelerators() > 0 {
		return &x.withAccelerators[bucketIndex(e.free)]
	}
	return &x.plain[bucketIndex(e.free)]
}

func (x *index) insert(e *indexedWorker) {
	s := x.bucketFor(e)
	e.bucketPosition = len(*s)
	*s = append(*s, e)
}

func (x *index) remove(e *indexedWorker) {
	s := x.bucketFor(e)
	last := (*s)[len(*s)-1]
	(*s)[e.bucketPosition] = last
	last.bucketPosition = e.bucketPosition
	*s = (*s)[:len(*s)-1]
}

// setFree updates the free size of a worker and moves it to its new bucket.
func (x *index) setFree(e *indexedWorker, free sizer.Size) {
	x.remove(e)
	e.free = free
	x.insert(e)
}

// candidates appends about limit workers that have room for need and pass the filter. It
// scans a bounded number of workers of each bucket, from a position derived from seed, so
// that equally suitable workers are used in turn.
func (x *index) candidates(out []*indexedWorker, need sizer.Size, seed uint64, limit int, passes func(*indexedWorker) bool) []*indexedWorker {
	perBucket := max(limit/candidateBuckets, 2)
	first := bucketIndex(need)
	for b := first; b < bucketCount; b++ {
		if need.Accelerators() == 0 {
			out = pick(out, x.plain[b], need, seed, perBucket, passes)
		}
		out = pick(out, x.withAccelerators[b], need, seed, perBucket, passes)
		if len(out) >= limit {
			break
		}
	}
	return out
}

const (
	// candidateBuckets is the number of buckets over which the candidates are spread.
	candidateBuckets = 3
	// examinedPerPick is the number of workers that are examined per worker wanted.
	examinedPerPick = 4
)

// all appends the workers that have room for need and pass the filter. It examines every
// worker, and stops after the bucket in which it reaches limit.
func (x *index) all(out []*indexedWorker, need sizer.Size, limit int, passes func(*indexedWorker) bool) []*indexedWorker {
	for b := bucketIndex(need); b < bucketCount && len(out) < limit; b++ {
		for _, bucket := range [...][]*indexedWorker{x.plain[b], x.withAccelerators[b]} {
			for _, e := range bucket {
				if need.Fits(e.free) && passes(e) {
					out = append(out, e)
				}
			}
		}
	}
	return out
}

// pick appends up to wanted workers of a bucket that have room for need and pass the
// filter. It examines at most wanted*examinedPerPick workers.
func pick(out, from []*indexedWorker, need sizer.Size, seed uint64, wanted int, passes func(*indexedWorker) bool) []*indexedWorker {
	n := len(from)
	if n == 0 {
		return out
	}
	position := int(seed % uint64(n))
	for range min(n, wanted*examinedPerPick) {
		e := from[position]
		if position++; position == n {
			position = 0
		}
		if !need.Fits(e.free) || !passes(e) {
			continue
		}
		out = append(out, e)
		if wanted--; wanted == 0 {
			break
		}
	}
	return out
}
