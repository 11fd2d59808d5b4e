package coder

var (
	codes = []Code{
		OK, Internal, Usage, Unreachable,
		Malformed, UnknownField, Missing, OutOfRange, Duplicate, UnknownName, BadFormat, TooLarge, NeverFits, BadPrice,
		StaleVersion, NotFound, NotAccepted, InUse,
		NotRun, Unknown, Overloaded, DeadlineTooShort, ShuttingDown, KeyTaken, Incomplete, Cancelled, Parked, Pending, NoBackend, Failed,
		LogDown, LogHole, NotReady, CorruptRecord, Fenced, LeaseLapsed, RateLimited,
		UsageDiffers, UsageMissing, ClockStep, OutOfOrder, PriceMissing, OverBudget, HistoryShort, UsageTooOld,
	}
)

// Codes gives every code. The list is not to be changed.
func Codes() []Code { return codes }
