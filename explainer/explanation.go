package explainer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Explanation is the difference between a cost of a month and its baseline, with
	// the causes.
	Explanation struct {
		month    pricer.Month
		currency string
		against  Against
		// fromMinor is the cost of the baseline and toMinor the cost that is
		// explained, in the smallest unit of the currency.
		fromMinor int64
		toMinor   int64
		causes    []Cause
		// leftOut is what is missing from the costs or was estimated for them.
		leftOut []meter.Fault
	}
)

// Month returns the month whose cost is explained.
func (e *Explanation) Month() pricer.Month { return e.month }

// Currency returns the ISO 4217 code of the operator's currency.
func (e *Explanation) Currency() string { return e.currency }

// Against returns the baseline that the cost is compared with.
func (e *Explanation) Against() Against { return e.against }

// FromMinor returns the cost of the baseline, in the smallest unit of the currency.
func (e *Explanation) FromMinor() int64 { return e.fromMinor }

// ToMinor returns the cost that is explained, in the smallest unit of the currency.
func (e *Explanation) ToMinor() int64 { return e.toMinor }

// Causes returns the causes, sorted by descending absolute amount. They add up to the
// difference between ToMinor and FromMinor.
func (e *Explanation) Causes() []Cause { return e.causes }

// LeftOut returns what is missing from the costs or was estimated for them, such as hours
// without usage records.
func (e *Explanation) LeftOut() []meter.Fault { return e.leftOut }

// Response converts the explanation to its protobuf message.
func (e *Explanation) Response() *schema.ExplainResponse {
	r := &schema.ExplainResponse{Month: e.month.String(), Currency: e.currency, FromMinor: e.fromMinor, ToMinor: e.toMinor, Against: string(e.against)}
	for _, c := range e.causes {
		r.Causes = append(r.Causes, &schema.Cause{
			Kind: string(c.kind), Name: c.work, AmountMinor: c.amountMinor,
			Offsets: c.usageOffsets, ConfigOffsets: c.configOffsets,
		})
	}
	for _, f := range e.leftOut {
		r.LeftOut = append(r.LeftOut, f.String())
	}
	return r
}

// causesOf returns the causes of the difference between two bills, sorted by descending
// absolute amount.
func causesOf(from, to *pricer.Bill) []Cause {
	before, after := linesByWork(from), linesByWork(to)
	var causes []Cause
	for _, work := range workNames(before, after) {
		causes = append(causes, causesOfWork(work, from, to, before[work], after[work])...)
	}
	slices.SortStableFunc(causes, func(a, b Cause) int {
		return cmp.Compare(max(b.amountMinor, -b.amountMinor), max(a.amountMinor, -a.amountMinor))
	})
	return causes
}

// causesOfWork returns the causes for one service or job, or for the unused commitments,
// from its lines in both bills.
func causesOfWork(work string, from, to *pricer.Bill, before, after []pricer.Line) []Cause {
	difference := totalCostMinor(after) - totalCostMinor(before)
	if difference == 0 && len(before) == 0 && len(after) == 0 {
		return nil
	}
	switch {
	case work == pricer.CommittedUnused:
		return singleCause(UnusedCommitment, work, difference)
	case len(before) == 0:
		return singleCause(NewWork, work, difference)
	case len(after) == 0:
		return singleCause(EndedWork, work, difference)
	}
	volumeInRuns := totalRuns(from, before) > 0 && totalRuns(to, after) > 0
	effects := attribute(factorsOf(from, before, volumeInRuns), factorsOf(to, after, volumeInRuns))
	var causes []Cause
	for n, amount := range roundToTotal(effects, difference) {
		causes = append(causes, singleCause(effects[n].kind, work, amount)...)
	}
	return causes
}

// singleCause returns one cause, or none if its amount is 0.
func singleCause(k Kind, work string, amount int64) []Cause {
	if amount == 0 {
		return nil
	}
	return []Cause{{kind: k, work: work, amountMinor: amount}}
}

func linesByWork(b *pricer.Bill) map[string][]pricer.Line {
	linesOf := map[string][]pricer.Line{}
	for _, l := range b.Lines() {
		linesOf[l.Cell().Workload()] = append(linesOf[l.Cell().Workload()], l)
	}
	return linesOf
}

func workNames(before, after map[string][]pricer.Line) []string {
	var names []string
	for w := range before {
		names = append(names, w)
	}
	for w := range after {
		names = append(names, w)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func totalCostMinor(lines []pricer.Line) int64 {
	total := int64(0)
	for _, l := range lines {
		total += l.CostMinor()
	}
	return total
}

// totalRuns returns the number of finished runs. Runs are counted per cell, not per line:
// a cell has a line for each resource.
func totalRuns(b *pricer.Bill, lines []pricer.Line) int64 {
	runs := int64(0)
	seen := map[meter.Cell]bool{}
	for _, l := range lines {
		if !seen[l.Cell()] {
			seen[l.Cell()] = true
			runs += b.Amounts(l.Cell())[meter.Runs]
		}
	}
	return runs
}
