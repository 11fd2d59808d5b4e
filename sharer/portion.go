package sharer

import "galenawharf.example/galenawharf/sizer"

// SplitQuota splits a quota among shards in proportion to their weights. The parts add up
// to exactly the quota, so that shard owners can enforce it without coordination.
func SplitQuota(quota sizer.Size, weights []int64) []sizer.Size {
	var sum int64
	for _, w := range weights {
		sum += w
	}
	out := make([]sizer.Size, len(weights))
	if sum == 0 {
		return out
	}
	remaining, remainingWeight := quota, sum
	for i, w := range weights {
		out[i] = sizer.New(mulDiv(remaining.Millicores(), w, remainingWeight), mulDiv(remaining.MemoryBytes(), w, remainingWeight), mulDiv(remaining.Accelerators(), w, remainingWeight))
		remaining = remaining.Sub(out[i])
		remainingWeight -= w
	}
	return out
}

// mulDiv returns n*w/total, rounded down, without overflow of n*w.
func mulDiv(n, w, total int64) int64 {
	if total == 0 {
		return 0
	}
	return n/total*w + n%total*w/total
}
