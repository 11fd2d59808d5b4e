package meter

import "galenawharf.example/galenawharf/schema"

type (
	// Field names one amount of Amounts.
	Field int

	// Amounts is what work held and used: thousandths of a core, MiB and whole
	// accelerators times milliseconds, and the time and runs of its tasks.
	Amounts [Fields]int64
)

// Amounts, in the order of schema.UsageLine.
const (
	ReservedProcessors Field = iota
	ReservedMemory
	ReservedAccelerators
	UsedProcessors
	UsedMemory
	ThrottledProcessors
	WastedProcessors
	WastedMemory
	WastedAccelerators
	// TaskMillis is how long tasks held their reservations, added up.
	TaskMillis
	// Runs is how many tasks came to their end.
	Runs
	// Fields is the number of amounts.
	Fields
)

// Add adds b to a.
func (a *Amounts) Add(b Amounts) {
	for f := range a {
		a[f] += b[f]
	}
}

// Sub takes b from a.
func (a *Amounts) Sub(b Amounts) {
	for f := range a {
		a[f] -= b[f]
	}
}

// IsZero tells whether every amount is 0.
func (a Amounts) IsZero() bool { return a == Amounts{} }

// AmountsOf gives the amounts of a line.
func AmountsOf(l *schema.UsageLine) Amounts {
	return Amounts{
		ReservedProcessors:   l.GetReservedMillicoreMillis(),
		ReservedMemory:       l.GetReservedMibMillis(),
		ReservedAccelerators: l.GetReservedAcceleratorMillis(),
		UsedProcessors:       l.GetUsedMillicoreMillis(),
		UsedMemory:           l.GetUsedMibMillis(),
		ThrottledProcessors:  l.GetThrottledMillicoreMillis(),
		WastedProcessors:     l.GetWastedMillicoreMillis(),
		WastedMemory:         l.GetWastedMibMillis(),
		WastedAccelerators:   l.GetWastedAcceleratorMillis(),
		TaskMillis:           l.GetTaskMillis(),
		Runs:                 l.GetRuns(),
	}
}

func lineOf(p payer, a Amounts) *schema.UsageLine {
	return &schema.UsageLine{
		Team: p.team, Work: p.work,
		ReservedMillicoreMillis:   a[ReservedProcessors],
		ReservedMibMillis:         a[ReservedMemory],
		ReservedAcceleratorMillis: a[ReservedAccelerators],
		UsedMillicoreMillis:       a[UsedProcessors],
		UsedMibMillis:             a[UsedMemory],
		ThrottledMillicoreMillis:  a[ThrottledProcessors],
		WastedMillicoreMillis:     a[WastedProcessors],
		WastedMibMillis:           a[WastedMemory],
		WastedAcceleratorMillis:   a[WastedAccelerators],
		TaskMillis:                a[TaskMillis],
		Runs:                      a[Runs],
	}
}
