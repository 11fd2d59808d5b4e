package explainer

import (
	"math"
)

type (
	// Kind is why a cost differs.
	Kind string

	// Cause is a part of the difference between two costs of one work.
	Cause struct {
		kind          Kind
		work          string
		amountMinor   int64
		usageOffsets  []int64
		configOffsets []int64
	}

	// effect is a cause before it is rounded.
	effect struct {
		kind   Kind
		amount float64
	}
)

// Why a cost differs.
const (
	// Volume is more or fewer runs, or replica time of standing work.
	Volume Kind = "volume"
	// RunTime is runs that take longer or shorter.
	RunTime Kind = "run-time"
	// Move is work that ran in other data centres.
	Move Kind = "move"
	// Size is tasks that hold more or less.
	Size Kind = "size"
	// Price is other prices.
	Price Kind = "price"
	// Eviction is more or less work that was lost.
	Eviction Kind = "eviction"
	// NewWork is work that cost nothing before.
	NewWork Kind = "new"
	// EndedWork is work that costs nothing now.
	EndedWork Kind = "ended"
	// Committed is more or less of what is committed but not reserved.
	Committed Kind = "committed"
)

// Kind gives why.
func (c Cause) Kind() Kind { return c.kind }

// Work gives the service or job.
func (c Cause) Work() string { return c.work }

// AmountMinor gives how much of the difference it is, in the smallest unit of
// the currency.
func (c Cause) AmountMinor() int64 { return c.amountMinor }

// UsageOffsets gives the latest records behind it in the stream "usage".
func (c Cause) UsageOffsets() []int64 { return c.usageOffsets }

// ConfigOffsets gives the changes behind it in the stream "config".
func (c Cause) ConfigOffsets() []int64 { return c.configOffsets }

// rounded gives whole amounts for effects that add up to whole. What rounding
// leaves goes to the largest effect.
func rounded(effects []effect, whole int64) []int64 {
	amounts := make([]int64, len(effects))
	largest, left := 0, whole
	for n, e := range effects {
		amounts[n] = int64(math.Round(e.amount))
		left -= amounts[n]
		if math.Abs(e.amount) > math.Abs(effects[largest].amount) {
			largest = n
		}
	}
	amounts[largest] += left
	return amounts
}
