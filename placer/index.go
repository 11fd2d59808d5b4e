package placer

import (
	"math/bits"

	"galenawharf.example/galenawharf/sizer"
)

type (
	// index finds workers with room without looking at all. Workers lie in
	// buckets by the logarithm of their free processors, those with free
	// accelerators apart from the others.
	index struct {
		byName  map[string]*entry
		plain   [buckets][]*entry
		special [buckets][]*entry
		places  map[place]int
		largest sizer.Size
	}
)

const (
	buckets = 48
	// bucketUnit is in thousandths of a core.
	bucketUnit = 250
)

func newIndex() *index {
	return &index{byName: map[string]*entry{}, places: map[place]int{}}
}

func bucketOf(s sizer.Size) int {
	return min(bits.Len64(uint64(max(s.Millicores(), 0)/bucketUnit)), buckets-1)
}

// shelf gives the bucket that an entry belongs to.
func (x *index) shelf(e *entry) *[]*entry {
	if e.free.Accelerators() > 0 {
		return &x.special[bucketOf(e.free)]
	}
	return &x.plain[bucketOf(e.free)]
}

func (x *index) insert(e *entry) {
	s := x.shelf(e)
	e.position = len(*s)
	*s = append(*s, e)
}

func (x *index) remove(e *entry) {
	s := x.shelf(e)
	last := (*s)[len(*s)-1]
	(*s)[e.position] = last
	last.position = e.position
	*s = (*s)[:len(*s)-1]
}

// setFree changes what is free on a worker.
func (x *index) setFree(e *entry, free sizer.Size) {
	x.remove(e)
	e.free = free
	x.insert(e)
}

// candidates appends up to limit workers that have room for need and pass a
// filter. It begins at a place that the seed picks, so that equals take turns,
// and looks at a bounded number of workers of each bucket.
func (x *index) candidates(out []*entry, need sizer.Size, seed uint64, limit int, passes func(*entry) bool) []*entry {
	perBucket := max(limit/candidateSpread, 2)
	first := bucketOf(need)
	for b := first; b < buckets; b++ {
		if need.Accelerators() == 0 {
			out = pick(out, x.plain[b], need, seed, perBucket, passes)
		}
		out = pick(out, x.special[b], need, seed, perBucket, passes)
		if len(out) >= limit {
			break
		}
	}
	return out
}

const (
	// candidateSpread is over how many buckets candidates are spread.
	candidateSpread = 3
	// looksPerPick is how many workers are looked at for each one wanted.
	looksPerPick = 4
)

// all appends up to limit workers that have room, and looks at every one until
// then.
func (x *index) all(out []*entry, need sizer.Size, limit int, passes func(*entry) bool) []*entry {
	for b := bucketOf(need); b < buckets && len(out) < limit; b++ {
		for _, shelf := range [...][]*entry{x.plain[b], x.special[b]} {
			for _, e := range shelf {
				if need.Fits(e.free) && passes(e) {
					out = append(out, e)
				}
			}
		}
	}
	return out
}

func pick(out, from []*entry, need sizer.Size, seed uint64, wanted int, passes func(*entry) bool) []*entry {
	n := len(from)
	if n == 0 {
		return out
	}
	at := int(seed % uint64(n))
	for range min(n, wanted*looksPerPick) {
		e := from[at]
		if at++; at == n {
			at = 0
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
