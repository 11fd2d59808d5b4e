package pricer

import (
	"math/big"

	"galenawharf.example/galenawharf/meter"
)

type (
	// Part is what a part of a cost went for.
	Part int

	// Line is what one resource of a team's work in a data centre costs in a
	// month.
	Line struct {
		cell      meter.Cell
		resource  Resource
		reserved  int64
		wasted    int64
		costMinor int64
		// exact is the cost before rounding.
		exact float64
		parts [Parts]int64
	}
)

const (
	// Wasted is work that was lost, and failed starts.
	Wasted Part = iota
	// Used is what tasks used of their reservations.
	Used
	// Throttled is what tasks were kept from using.
	Throttled
	// Idle is the rest.
	Idle
	// Parts is the number of parts.
	Parts

	// CommittedUnused is the work of the lines for what is committed but not
	// reserved; they have no team.
	CommittedUnused = "committed-unused"
)

// Cell gives data centre, team and work.
func (l Line) Cell() meter.Cell { return l.cell }

// Resource gives the resource.
func (l Line) Resource() Resource { return l.resource }

// Reserved gives the amount that is paid for, in the units of meter.Amounts.
func (l Line) Reserved() int64 { return l.reserved }

// WastedAmount gives the amount that was lost.
func (l Line) WastedAmount() int64 { return l.wasted }

// CostMinor gives the cost in the smallest unit of the currency.
func (l Line) CostMinor() int64 { return l.costMinor }

// UnitPrice gives what the amount costs for each unit of meter.Amounts, before
// rounding, in the smallest unit of the currency.
func (l Line) UnitPrice() float64 {
	if l.reserved == 0 {
		return 0
	}
	return l.exact / float64(l.reserved)
}

// PartMinor gives what a part of the cost went for; the parts add up to it.
func (l Line) PartMinor(p Part) int64 { return l.parts[p] }

// split cuts the cost by what was done with the reservation: first the waste,
// then what was used and throttled of the rest. The use of accelerators is
// not reported, so that all of them counts as used.
func split(cost int64, c meter.Cell, r Resource, a meter.Amounts) [Parts]int64 {
	var parts [Parts]int64
	if c.Work() == CommittedUnused {
		parts[Idle] = cost
		return parts
	}
	rest := a[r]
	take := func(n int64) *big.Int {
		n = max(0, min(n, rest))
		rest -= n
		return big.NewInt(n)
	}
	wasted := take(a[wastedOf[r]])
	used := take(usedOf(r, a))
	throttled := take(throttledOf(r, a))
	idle := take(rest)
	copy(parts[:], Share(cost, []*big.Int{wasted, used, throttled, idle}))
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
