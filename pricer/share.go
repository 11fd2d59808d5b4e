package pricer

import (
	"cmp"
	"math/big"
	"slices"
)

// Apportion divides amount into integer parts proportional to the weights, by the largest
// remainder method: the exact parts are rounded down, and the units that remain go one each
// to the parts with the largest remainders, with equal remainders to the earlier part. The
// parts add up to amount. If the sum of the weights is not positive, the first part gets
// the whole amount.
func Apportion(amount int64, weights []*big.Int) []int64 {
	parts := make([]int64, len(weights))
	if len(weights) == 0 {
		return parts
	}
	total := new(big.Int)
	for _, w := range weights {
		total.Add(total, w)
	}
	if total.Sign() <= 0 {
		parts[0] = amount
		return parts
	}
	remainders := make([]*big.Int, len(weights))
	remaining := amount
	for n, w := range weights {
		remainders[n] = new(big.Int)
		q := new(big.Int).Mul(big.NewInt(amount), w)
		q.DivMod(q, total, remainders[n])
		parts[n] = q.Int64()
		remaining -= parts[n]
	}
	for _, n := range indexesByRemainder(remainders)[:remaining] {
		parts[n]++
	}
	return parts
}

func indexesByRemainder(remainders []*big.Int) []int {
	order := make([]int, len(remainders))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(remainders[b].Cmp(remainders[a]), cmp.Compare(a, b))
	})
	return order
}

// roundHalfUp returns n/d rounded to an integer, with halves rounded up. d must be positive.
func roundHalfUp(n, d *big.Int) int64 {
	twice := new(big.Int).Lsh(n, 1)
	twice.Add(twice, d)
	q, _ := new(big.Int).DivMod(twice, new(big.Int).Lsh(d, 1), new(big.Int))
	return q.Int64()
}
