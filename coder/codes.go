package coder

// Results of every call.
const (
	// OK is success.
	OK Code = 0
	// Internal is a fault of the daemon itself.
	Internal Code = 1
	// Usage is a command line that can't be read.
	Usage Code = 2
	// Unreachable is a daemon or platform end point that doesn't answer.
	Unreachable Code = 3
)

// Faults in settings, declarations and messages from outside.
const (
	// Malformed is a document that is not well-formed.
	Malformed Code = 1001
	// UnknownField is a key that the format doesn't have.
	UnknownField Code = 1002
	// Missing is a required value that isn't there.
	Missing Code = 1003
	// OutOfRange is a number outside its limits.
	OutOfRange Code = 1004
	// Duplicate is a name or address that appears twice.
	Duplicate Code = 1005
	// UnknownName refers to something that isn't declared.
	UnknownName Code = 1006
	// BadFormat is a text of the wrong form, such as an address or a date.
	BadFormat Code = 1007
	// TooLarge is a document or body over its limit.
	TooLarge Code = 1008
	// NeverFits is work larger than any worker.
	NeverFits Code = 1009
	// BadPrice is a price that overlaps another, leaves a gap or reaches
	// into the past.
	BadPrice Code = 1010
)

// Refusals of changes.
const (
	// StaleVersion is a change based on a version that another replaced.
	StaleVersion Code = 2001
	// NotFound is a name with no declaration or task.
	NotFound Code = 2002
	// NotAccepted is a change that could not be confirmed in the log.
	NotAccepted Code = 2003
	// InUse is a deletion of something that others refer to.
	InUse Code = 2004
)

// Outcomes of requests.
const (
	// NotRun is a request that was not run and will not be.
	NotRun Code = 3001
	// Unknown is a request that may or may not have run.
	Unknown Code = 3002
	// Overloaded is a request refused, not run, because of load.
	Overloaded Code = 3003
	// DeadlineTooShort is a request refused, not run, because it can't end
	// in time.
	DeadlineTooShort Code = 3004
	// ShuttingDown is a request refused, not run, by a daemon that leaves.
	ShuttingDown Code = 3005
	// KeyTaken is a key that another request holds.
	KeyTaken Code = 3007
	// Incomplete is an answer whose length or digest is wrong.
	Incomplete Code = 3008
	// Cancelled is work that an operator or caller cancelled.
	Cancelled Code = 3009
	// Parked is a job that is not tried again until it is changed.
	Parked Code = 3010
	// Pending is work that has no answer yet.
	Pending Code = 3011
	// NoBackend is a request for which no backend server is available.
	NoBackend Code = 3012
	// Failed is work that ran and reported failure.
	Failed Code = 3013
)

// Conditions of daemons and the platform.
const (
	// LogDown is a log that can't be appended to or read.
	LogDown Code = 4001
	// LogHole is a log whose records were discarded before they were read.
	LogHole Code = 4002
	// NotReady is a daemon that doesn't serve yet.
	NotReady Code = 4004
	// CorruptRecord is a record in the log that can't be decoded.
	CorruptRecord Code = 4005
	// Fenced is an order from an owner that another replaced.
	Fenced Code = 4006
	// LeaseLapsed is a lease that ended before it was extended.
	LeaseLapsed Code = 4007
	// RateLimited is an append over the log's rate.
	RateLimited Code = 4008
)

// Faults in the bill.
const (
	// UsageDiffers is a second usage record of an hour that says otherwise
	// than the first, which counts.
	UsageDiffers Code = 5001
	// UsageMissing is an hour without a usage record.
	UsageMissing Code = 5002
	// ClockStep is a record whose time is out of line with those before it.
	ClockStep Code = 5003
	// OutOfOrder is an end of a lease that had no start.
	OutOfOrder Code = 5004
	// PriceMissing is usage for which no price is declared.
	PriceMissing Code = 5005
	// OverBudget is a team on course to pass its budget.
	OverBudget Code = 5006
	// HistoryShort is work with too little history to forecast from.
	HistoryShort Code = 5007
	// UsageTooOld is a usage record that comes too late to be counted.
	UsageTooOld Code = 5008
)
