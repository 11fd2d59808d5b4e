package sharer

import "galenawharf.example/galenawharf/sizer"

// Portions divides a quota among shards by their weights. The parts add up to
// the quota, so that owners who can't see each other keep it together.
func Portions(quota sizer.Size, weights []int64) []sizer.Size {
	var sum int64
	for _, w := range weights {
		sum += w
	}
	out := make([]sizer.Size, len(weights))
	if sum == 0 {
		return out
	}
	left, rest := quota, sum
	for i, w := range weights {
		out[i] = sizer.New(part(left.Millicores(), w, rest), part(left.MemoryBytes(), w, rest), part(left.Accelerators(), w, rest))
		left = left.Sub(out[i])
		rest -= w
	}
	return out
}

// part gives n*w/of, rounded down, without overflow.
func part(n, w, of int64) int64 {
	if of == 0 {
		return 0
	}
	return n/of*w + n%of*w/of
}
