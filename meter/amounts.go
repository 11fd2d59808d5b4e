package meter

import "galenawharf.example/galenawharf/schema"

type (
	// Field is the index of one amount in Amounts.
	Field int

	// Amounts holds the usage of a workload, or of several, in some time span:
	// resources multiplied by the time for which they were reserved, used, throttled or
	// wasted, the total task time, and the number of runs. Processors are in
	// millicore-milliseconds, memory in MiB-milliseconds, accelerators in
	// accelerator-milliseconds.
	Amounts [Fields]int64
)

// The fields of Amounts, in the order of schema.UsageLine. The first three are also in the
// order of pricer.Resource, on which HourlyReserved and package forecaster rely.
const (
	ReservedProcessors Field = iota
	ReservedMemory
	ReservedAccelerators
	UsedProcessors
	UsedMemory
	// ThrottledProcessors is the processor time that throttling denied to tasks.
	ThrottledProcessors
	// WastedProcessors, WastedMemory and WastedAccelerators are the reservations of
	// incarnations whose computation was lost, for their whole run time.
	WastedProcessors
	WastedMemory
	WastedAccelerators
	// TaskMillis is the sum of the times for which tasks held their reservations.
	TaskMillis
	// Runs is the number of tasks that succeeded or failed for good. Incarnations that
	// were evicted, lost, cancelled, parked or retried don't count.
	Runs
	// Fields is the number of amounts.
	Fields
)

// Add adds each amount of b to a, in place.
func (a *Amounts) Add(b Amounts) {
	for f := range a {
		a[f] += b[f]
	}
}

// Sub subtracts each amount of b from a, in place.
func (a *Amounts) Sub(b Amounts) {
	for f := range a {
		a[f] -= b[f]
	}
}

// IsZero reports whether every amount is 0.
func (a Amounts) IsZero() bool { return a == Amounts{} }

// AmountsOf returns the amounts of a usage line, without its team and workload.
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

func usageLineOf(p lineKey, a Amounts) *schema.UsageLine {
	return &schema.UsageLine{
		Team: p.team, Work: p.workload,
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
