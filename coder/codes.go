package coder

// Results of any command or call.
const (
	// OK is success.
	OK Code = 0
	// Internal is an unexpected error in the daemon.
	Internal Code = 1
	// Usage is an invalid command line.
	Usage Code = 2
	// Unreachable is a daemon or platform endpoint that doesn't answer.
	Unreachable Code = 3
)

// Errors in settings, declarations and requests.
const (
	// Malformed is a document that is not well-formed, or a value of the wrong type.
	Malformed Code = 1001
	// UnknownField is a key that the format doesn't have.
	UnknownField Code = 1002
	// Missing is a required value that is not given.
	Missing Code = 1003
	// OutOfRange is a number outside its permitted range.
	OutOfRange Code = 1004
	// Duplicate is a name or address that appears twice.
	Duplicate Code = 1005
	// UnknownName is a reference to something that isn't declared.
	UnknownName Code = 1006
	// BadFormat is a string in the wrong format, such as an invalid address or date.
	BadFormat Code = 1007
	// TooLarge is a document, body or name over its size limit.
	TooLarge Code = 1008
	// NeverFits is work that is larger than any worker.
	NeverFits Code = 1009
	// BadPrice is a price that overlaps another, leaves a gap or would change the
	// cost of past days.
	BadPrice Code = 1010
)

// Refusals of changes and operations.
const (
	// StaleVersion is a change that expects a version which another change has
	// replaced.
	StaleVersion Code = 2001
	// NotFound is a name without a declaration or task.
	NotFound Code = 2002
	// NotAccepted is a change that was not confirmed in the log. It may still take
	// effect.
	NotAccepted Code = 2003
	// InUse is a deletion or change of something that is in use.
	InUse Code = 2004
)

// Outcomes of requests.
const (
	// NotRun is a request that was not run and will not be.
	NotRun Code = 3001
	// Unknown is a request that may or may not have run.
	Unknown Code = 3002
	// Overloaded is a request that was refused because of load and not run.
	Overloaded Code = 3003
	// DeadlineTooShort is a request that was refused because it can't end before its
	// deadline, and not run.
	DeadlineTooShort Code = 3004
	// ShuttingDown is a request that was refused by a daemon that is shutting down,
	// and not run.
	ShuttingDown Code = 3005
	// KeyTaken is a key that is in use by another request.
	KeyTaken Code = 3007
	// Incomplete is an answer from an executor with a wrong id, length or digest.
	Incomplete Code = 3008
	// Cancelled is work that an operator or caller cancelled.
	Cancelled Code = 3009
	// Parked is a job that is not retried until its declaration changes.
	Parked Code = 3010
	// Pending is work that has not ended yet.
	Pending Code = 3011
	// NoBackend is a request for which no backend server is available.
	NoBackend Code = 3012
	// Failed is work that ran and reported a failure.
	Failed Code = 3013
	// BadKey is a request without a key, or with one that no tenant has.
	BadKey Code = 3014
	// OverCap is a job with a task or gang that is larger than the cap of its tenant.
	OverCap Code = 3015
	// OverRate is a job that was refused, and not run, because its tenant submits more than
	// it may.
	OverRate Code = 3016
)

// Conditions of daemons and the platform.
const (
	// LogDown is a log that can't be read or appended to. An append that fails with it
	// added nothing.
	LogDown Code = 4001
	// LogHole is a gap in the log: records were discarded before they were read.
	LogHole Code = 4002
	// NotReady is a daemon that is not ready to serve.
	NotReady Code = 4004
	// CorruptRecord is a record in the log that can't be decoded.
	CorruptRecord Code = 4005
	// Fenced is an order that a worker refused because its fencing token is not above
	// the highest that the worker has seen, such as an order of a former shard owner.
	Fenced Code = 4006
	// LeaseLapsed is a lease that expired before it was extended.
	LeaseLapsed Code = 4007
	// RateLimited is an append that the log refused because of its rate limit.
	RateLimited Code = 4008
)

// Errors and warnings in billing.
const (
	// UsageDiffers is a second usage record of an hour that differs from the first.
	// Only the first counts.
	UsageDiffers Code = 5001
	// UsageMissing is an hour without a usage record.
	UsageMissing Code = 5002
	// ClockStep is a record whose time is inconsistent with the records before it.
	ClockStep Code = 5003
	// OutOfOrder is the end of a lease whose start was not recorded.
	OutOfOrder Code = 5004
	// PriceMissing is usage for which no price is declared.
	PriceMissing Code = 5005
	// OverBudget is a team whose cost exceeds its budget or is forecast to.
	OverBudget Code = 5006
	// HistoryShort is work with too little history for a forecast.
	HistoryShort Code = 5007
	// UsageTooOld is a usage record that arrived too late to be counted.
	UsageTooOld Code = 5008
)
