package pricer

import (
	"math/big"

	"galenawharf.example/galenawharf/meter"
)

type (
	// Part is a part of a cost, by what the reservation was used for.
	Part int

	// Line is the monthly cost of one resource for a team's work in a data centre.
	Line struct {
		cell      meter.Cell
		resource  Resource
		reserved  int64
		wasted    int64
		costMinor int64
		// exact is the cost before rounding, in the smallest unit of the currency.
		exact float64
		parts [Parts]int64
	}
)

const (
	// Wasted is the reservations of lost work and of failed starts.
	Wasted Part = iota
	// Used is the part of the reservations that tasks used.
	Used
	// Throttled is the processor time that tasks were denied by throttling.
	Throttled
	// Idle is the rest of the reservations, and unused commitments.
	Idle
	// Parts is the number of parts.
	Parts

	// CommittedUnused is the name of the work of lines for unused commitments: capacity
	// that is paid for but not reserved. These lines have no team.
	CommittedUnused = "committed-unused"
)

// Cell returns the data centre, team and work of the line.
func (l Line) Cell() meter.Cell { return l.cell }

// Resource returns the resource that the line bills.
func (l Line) Resource() Resource { return l.resource }

// Reserved returns the billed amount, in the units of meter.Amounts.
func (l Line) Reserved() int64 { return l.reserved }

// WastedAmount returns the wasted amount, in the units of meter.Amounts.
func (l Line) WastedAmount() int64 { return l.wasted }

// CostMinor returns the cost in the smallest unit of the currency.
func (l Line) CostMinor() int64 { return l.costMinor }

// UnitPrice returns the average price of one unit of meter.Amounts, before rounding, in
// the smallest unit of the currency. It is 0 if nothing was reserved.
func (l Line) UnitPrice() float64 {
	if l.reserved == 0 {
		return 0
	}
	return l.exact / float64(l.reserved)
}

// PartMinor returns the part p of the cost, in the smallest unit of the currency. The
// parts add up to CostMinor.
func (l Line) PartMinor(p Part) int64 { return l.parts[p] }

// splitCost apportions the cost to its parts by what the reservation was used for: first
// the waste, then what was used and throttled of the rest; what remains is idle. Workers
// don't report the use of accelerators, so accelerators that are not wasted count as used.
func splitCost(cost int64, c meter.Cell, r Resource, a meter.Amounts) [Parts]int64 {
	var parts [Parts]int64
	if c.Workload() == CommittedUnused {
		parts[Idle] = cost
		return parts
	}
	rest := a[r]
	takeUpTo := func(n int64) *big.Int {
		n = max(0, min(n, rest))
		rest -= n
		return big.NewInt(n)
	}
	wasted := takeUpTo(a[wastedFields[r]])
	used := takeUpTo(usedOf(r, a))
	throttled := takeUpTo(throttledOf(r, a))
	idle := takeUpTo(rest)
	copy(parts[:], Apportion(cost, []*big.Int{wasted, used, throttled, idle}))
	return parts
}

func usedOf(r Resource, a meter.Amounts) int64 {
	switch r {
	case Processors:
		return a[meter.UsedProcessors]
	case Memory:
		return a[meter.UsedMemory]
	}
	return a[r]
}

func throttledOf(r Resource, a meter.Amounts) int64 {
	if r == Processors {
		return a[meter.ThrottledProcessors]
	}
	return 0
}
