package pricer

import (
	"cmp"
	"math/big"
	"slices"
)

// Share cuts whole into parts that are as near as can be to their weights and
// add up to whole. What rounding down leaves goes, one each, to the parts with
// the largest remainders; of equal ones to the first. Where no weight is above
// zero, the first part gets all.
func Share(whole int64, weights []*big.Int) []int64 {
	parts := make([]int64, len(weights))
	if len(weights) == 0 {
		return parts
	}
	total := new(big.Int)
	for _, w := range weights {
		total.Add(total, w)
	}
	if total.Sign() <= 0 {
		parts[0] = whole
		return parts
	}
	remainders := make([]*big.Int, len(weights))
	left := whole
	for n, w := range weights {
		remainders[n] = new(big.Int)
		q := new(big.Int).Mul(big.NewInt(whole), w)
		q.DivMod(q, total, remainders[n])
		parts[n] = q.Int64()
		left -= parts[n]
	}
	for _, n := range byRemainder(remainders)[:left] {
		parts[n]++
	}
	return parts
}

func byRemainder(remainders []*big.Int) []int {
	order := make([]int, len(remainders))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(remainders[b].Cmp(remainders[a]), cmp.Compare(a, b))
	})
	return order
}

// roundHalfUp gives n/d as a whole number; halves go up.
func roundHalfUp(n, d *big.Int) int64 {
	twice := new(big.Int).Lsh(n, 1)
	twice.Add(twice, d)
	q, _ := new(big.Int).DivMod(twice, new(big.Int).Lsh(d, 1), new(big.Int))
	return q.Int64()
}
