package meter

import "galenawharf.example/galenawharf/schema"

type (
	// Field is the index of one amount in Amounts.
	Field int

	// Amounts is the resources that a workload reserved and used, each multiplied by
	// time, and the task time and number of runs. Processors are in
	// millicore-milliseconds, memory in MiB-milliseconds, accelerators in
	// accelerator-milliseconds.
	Amounts [Fields]int64
)

// The fields of Amounts, in the order of schema.UsageLine.
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
	// TaskMillis is the sum of the times for which tasks held their reservations.
	TaskMillis
	// Runs is the number of tasks that succeeded or failed. Tasks that were evicted,
	// lost or cancelled don't count.
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

// Sub subtracts b from a.
func (a *Amounts) Sub(b Amounts) {
	for f := range a {
		a[f] -= b[f]
	}
}

// IsZero reports whether every amount is 0.
func (a Amounts) IsZero() bool { return a == Amounts{} }

// AmountsOf returns the amounts of a usage line.
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

func lineOf(p lineKey, a Amounts) *schema.UsageLine {
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
