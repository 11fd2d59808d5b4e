package coder

var (
	codes = []Code{
		OK, Internal, Usage, Unreachable,
		Malformed, UnknownField, Missing, OutOfRange, Duplicate, UnknownName, BadFormat, TooLarge, NeverFits, BadPrice,
		StaleVersion, NotFound, NotAccepted, InUse,
		NotRun, Unknown, Overloaded, DeadlineTooShort, ShuttingDown, KeyTaken, Incomplete, Cancelled, Parked, Pending, NoBackend, Failed, BadKey, OverCap, OverRate,
		LogDown, LogHole, NotReady, CorruptRecord, Fenced, LeaseLapsed, RateLimited,
		UsageDiffers, UsageMissing, ClockStep, OutOfOrder, PriceMissing, OverBudget, HistoryShort, UsageTooOld,
	}
)

// Codes returns all codes. Callers must not modify the slice.
func Codes() []Code { return codes }
