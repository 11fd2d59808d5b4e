package explainer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Explanation is why one cost differs from another.
	Explanation struct {
		month    pricer.Month
		currency string
		// against says what the cost is compared with.
		against Against
		from    int64
		to      int64
		causes  []Cause
		leftOut []meter.Fault
	}
)

// Month gives the month that is explained.
func (e *Explanation) Month() pricer.Month { return e.month }

// Currency gives the currency.
func (e *Explanation) Currency() string { return e.currency }

// Against gives what the cost is compared with.
func (e *Explanation) Against() Against { return e.against }

// FromMinor gives the cost that it is compared with, in the smallest unit of the
// currency.
func (e *Explanation) FromMinor() int64 { return e.from }

// ToMinor gives the cost that is explained.
func (e *Explanation) ToMinor() int64 { return e.to }

// Causes gives the causes, the largest first. They add up to the difference.
func (e *Explanation) Causes() []Cause { return e.causes }

// LeftOut gives what could not be taken into account.
func (e *Explanation) LeftOut() []meter.Fault { return e.leftOut }

// Response gives the explanation as the schema has it.
func (e *Explanation) Response() *schema.ExplainResponse {
	r := &schema.ExplainResponse{Month: e.month.String(), Currency: e.currency, FromMinor: e.from, ToMinor: e.to, Against: string(e.against)}
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

// causesOf gives the causes of the difference between two bills, the largest
// first.
func causesOf(from, to *pricer.Bill) []Cause {
	was, is := linesByWork(from), linesByWork(to)
	var causes []Cause
	for _, work := range worksOf(was, is) {
		causes = append(causes, causesOfWork(work, from, to, was[work], is[work])...)
	}
	slices.SortStableFunc(causes, func(a, b Cause) int {
		return cmp.Compare(max(b.amountMinor, -b.amountMinor), max(a.amountMinor, -a.amountMinor))
	})
	return causes
}

func causesOfWork(work string, from, to *pricer.Bill, was, is []pricer.Line) []Cause {
	whole := costOf(is) - costOf(was)
	if whole == 0 && len(was) == 0 && len(is) == 0 {
		return nil
	}
	switch {
	case work == pricer.CommittedUnused:
		return causeOf(Committed, work, whole)
	case len(was) == 0:
		return causeOf(NewWork, work, whole)
	case len(is) == 0:
		return causeOf(EndedWork, work, whole)
	}
	byRuns := runsOf(from, was) > 0 && runsOf(to, is) > 0
	effects := compare(factorsOf(from, was, byRuns), factorsOf(to, is, byRuns))
	var causes []Cause
	for n, amount := range rounded(effects, whole) {
		causes = append(causes, causeOf(effects[n].kind, work, amount)...)
	}
	return causes
}

func causeOf(k Kind, work string, amount int64) []Cause {
	if amount == 0 {
		return nil
	}
	return []Cause{{kind: k, work: work, amountMinor: amount}}
}

func linesByWork(b *pricer.Bill) map[string][]pricer.Line {
	works := map[string][]pricer.Line{}
	for _, l := range b.Lines() {
		works[l.Cell().Work()] = append(works[l.Cell().Work()], l)
	}
	return works
}

func worksOf(was, is map[string][]pricer.Line) []string {
	var works []string
	for w := range was {
		works = append(works, w)
	}
	for w := range is {
		works = append(works, w)
	}
	slices.Sort(works)
	return slices.Compact(works)
}

func costOf(lines []pricer.Line) int64 {
	total := int64(0)
	for _, l := range lines {
		total += l.CostMinor()
	}
	return total
}

func runsOf(b *pricer.Bill, lines []pricer.Line) int64 {
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
