package meter

import (
	"math/big"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// naiveLease is a lease as it was, before any record of it.
	naiveLease struct {
		work       Work
		task       string
		number     int64
		from       clock.Millis
		until      clock.Millis
		state      schema.TaskState
		resumed    string
		checkpoint string
	}

	// naiveSums is what each payer held, in numbers without a limit.
	naiveSums map[payer]*[Fields]big.Int
)

func (s naiveSums) add(p payer, f Field, a, b int64) {
	if s[p] == nil {
		s[p] = &[Fields]big.Int{}
	}
	var n big.Int
	n.Mul(big.NewInt(a), big.NewInt(b))
	s[p][f].Add(&s[p][f], &n)
}

// naiveMeter walks every lease and gives what was held in a span.
func naiveMeter(leases []naiveLease, from, until clock.Millis) naiveSums {
	s := naiveSums{}
	for _, l := range leases {
		mib := (l.work.size.MemoryBytes() + 1<<20 - 1) >> 20
		p := l.work.payer()
		if d := int64(min(l.until, until) - max(l.from, from)); d > 0 {
			s.add(p, ReservedProcessors, l.work.size.Millicores(), d)
			s.add(p, ReservedMemory, mib, d)
			s.add(p, ReservedAccelerators, l.work.size.Accelerators(), d)
			s.add(p, TaskMillis, 1, d)
		}
		if l.until < from || l.until >= until {
			continue
		}
		if l.state == schema.TaskState_TASK_STATE_SUCCEEDED || l.state == schema.TaskState_TASK_STATE_FAILED {
			s.add(p, Runs, 1, 1)
		}
		lost := l.state == schema.TaskState_TASK_STATE_FAILED ||
			l.state == schema.TaskState_TASK_STATE_EVICTED && l.resumed == l.checkpoint ||
			l.state == schema.TaskState_TASK_STATE_LOST && l.resumed == l.checkpoint
		if d := int64(l.until - l.from); lost && (!l.work.standing || d < 60_000) {
			s.add(p, WastedProcessors, l.work.size.Millicores(), d)
			s.add(p, WastedMemory, mib, d)
			s.add(p, WastedAccelerators, l.work.size.Accelerators(), d)
		}
	}
	return s
}

// amounts gives the sums as the meter gives them, without payers of nothing.
func (s naiveSums) amounts() map[payer]Amounts {
	all := map[payer]Amounts{}
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
