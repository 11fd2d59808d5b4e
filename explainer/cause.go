package explainer

import (
	"math"
)

type (
	// Kind is the reason why a cost differs from another.
	Kind string

	// Cause is a part of the difference between two costs of a service or job, with its
	// reason and the records that it comes from.
	Cause struct {
		kind          Kind
		work          string
		amountMinor   int64
		usageOffsets  []int64
		configOffsets []int64
	}

	// effect is the exact amount of a cause, before rounding, in the smallest unit of
	// the currency.
	effect struct {
		kind   Kind
		amount float64
	}
)

// Kinds of causes. A work is a service or job.
const (
	// Volume is a different number of runs, or of task time for work that doesn't have
	// finished runs in both bills, such as services.
	Volume Kind = "volume"
	// RunTime is a different average duration of a run.
	RunTime Kind = "run-time"
	// Move is a different distribution over the data centres.
	Move Kind = "move"
	// Size is a different reservation per task.
	Size Kind = "size"
	// Price is a change of prices.
	Price Kind = "price"
	// Eviction is a different amount of wasted resources, such as those of evicted tasks.
	Eviction Kind = "eviction"
	// NewWork is work that has a cost only in the later bill.
	NewWork Kind = "new"
	// EndedWork is work that has a cost only in the earlier bill.
	EndedWork Kind = "ended"
	// UnusedCommitment is a different cost of unused commitments: capacity that is paid
	// for but not reserved.
	UnusedCommitment Kind = "committed"
)

// Kind returns the reason.
func (c Cause) Kind() Kind { return c.kind }

// Work returns the name of the service or job, or pricer.CommittedUnused.
func (c Cause) Work() string { return c.work }

// AmountMinor returns the cause's part of the difference, in the smallest unit of the
// currency. It is negative where the cost went down.
func (c Cause) AmountMinor() int64 { return c.amountMinor }

// UsageOffsets returns the offsets of the latest usage records of the work's data
// centres, in the stream "usage".
func (c Cause) UsageOffsets() []int64 { return c.usageOffsets }

// ConfigOffsets returns the offsets of the changes to the declarations that apply, in
// the stream "config".
func (c Cause) ConfigOffsets() []int64 { return c.configOffsets }

// roundToTotal rounds the effects to whole amounts that add up to total. The rounding
// error goes to the largest effect.
func roundToTotal(effects []effect, total int64) []int64 {
	amounts := make([]int64, len(effects))
	largest, remainder := 0, total
	for n, e := range effects {
		amounts[n] = int64(math.Round(e.amount))
		remainder -= amounts[n]
		if math.Abs(e.amount) > math.Abs(effects[largest].amount) {
			largest = n
		}
	}
	amounts[largest] += remainder
	return amounts
}
