package meter

import (
	"math/big"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// naiveLease is a lease from which the test makes task events.
	naiveLease struct {
		workload    Workload
		task        string
		incarnation int64
		from        clock.Millis
		until       clock.Millis
		state       schema.TaskState
		resumedFrom string
		checkpoint  string
	}

	// naiveSums is the amounts by line key, in numbers that can't overflow.
	naiveSums map[lineKey]*[Fields]big.Int
)

func (s naiveSums) add(p lineKey, f Field, a, b int64) {
	if s[p] == nil {
		s[p] = &[Fields]big.Int{}
	}
	var n big.Int
	n.Mul(big.NewInt(a), big.NewInt(b))
	s[p][f].Add(&s[p][f], &n)
}

// naiveMeter returns the usage in [from, until) by adding up the leases one by one. It is
// the reference for Meter.
func naiveMeter(leases []naiveLease, from, until clock.Millis) naiveSums {
	s := naiveSums{}
	for _, l := range leases {
		mib := (l.workload.size.MemoryBytes() + 1<<20 - 1) >> 20
		p := l.workload.lineKey()
		if d := int64(min(l.until, until) - max(l.from, from)); d > 0 {
			s.add(p, ReservedProcessors, l.workload.size.Millicores(), d)
			s.add(p, ReservedMemory, mib, d)
			s.add(p, ReservedAccelerators, l.workload.size.Accelerators(), d)
			s.add(p, TaskMillis, 1, d)
		}
		if l.until < from || l.until >= until {
			continue
		}
		if l.state == schema.TaskState_TASK_STATE_SUCCEEDED || l.state == schema.TaskState_TASK_STATE_FAILED {
			s.add(p, Runs, 1, 1)
		}
		lost := l.state == schema.TaskState_TASK_STATE_FAILED ||
			l.state == schema.TaskState_TASK_STATE_EVICTED && l.resumedFrom == l.checkpoint ||
			l.state == schema.TaskState_TASK_STATE_LOST && l.resumedFrom == l.checkpoint
		if d := int64(l.until - l.from); lost && (!l.workload.longRunning || d < 60_000) {
			s.add(p, WastedProcessors, l.workload.size.Millicores(), d)
			s.add(p, WastedMemory, mib, d)
			s.add(p, WastedAccelerators, l.workload.size.Accelerators(), d)
		}
	}
	return s
}

// amounts returns the sums in the form of Meter, without keys whose amounts are all 0.
func (s naiveSums) amounts() map[lineKey]Amounts {
	all := map[lineKey]Amounts{}
	for p, sums := range s {
		var a Amounts
		for f := range sums {
			if !sums[f].IsInt64() {
				panic("a sum is out of range")
			}
			a[f] = sums[f].Int64()
		}
		if !a.IsZero() {
			all[p] = a
		}
	}
	return all
}
