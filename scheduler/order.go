package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// OrderKind is what a worker is asked to do.
	OrderKind int

	// Order is a request to a worker about one run.
	Order struct {
		Kind    OrderKind
		Worker  string
		Address string
		Born    int64
		Task    TaskName
		Attempt int
		// Text and Checkpoint go with a start, Percent with a pace.
		Text       string
		Checkpoint string
		// Ticket goes with a start on a queue with a policy.
		Ticket  string
		Percent int
		// Deadline is until when the worker may work, by its own clock, without
		// hearing again.
		Deadline clock.Millis
	}

	// Outcome is what is known of an order after its call.
	Outcome int

	// Ack is the highest end of one life of a worker.
	Ack struct {
		Born   int64
		Number int64
	}

	// Record is a job to store under its key; a nil value deletes it.
	Record struct {
		Key   string
		Value []byte
	}

	// Batch is a set of changes that is stored as a whole; its orders and replies
	// are valid only after that.
	Batch struct {
		Records []Record
		Orders  []Order
		// Acks has for each worker the highest end that the batch stores.
		Acks map[string]Ack
		// replies are told when the batch is stored.
		replies []reply
		// phases are those that the batch stores.
		phases map[*job]Phase
	}
)

// Kinds of orders.
const (
	Start OrderKind = iota
	Stop
	Pace
)

// Outcomes of an order.
const (
	// Done: the worker did it, now or before.
	Done Outcome = iota
	// Unclear: no answer; it may have been done, or be done seconds later.
	Unclear
	// NotSent: the worker can't have received it.
	NotSent
	// Absent: nothing listens at the worker's address.
	Absent
	// NoRoom: the worker has no room.
	NoRoom
	// Obsolete: the worker has ended or stopped this run, or has a newer one.
	Obsolete
	// Late: the lease was over by the worker's clock.
	Late
	// Unwell: the worker refused without doing anything.
	Unwell
	// OtherLife: the worker was restarted.
	OtherLife
	// Fenced: another leader has taken over.
	Fenced
	// NoTicket: the worker does not take the ticket.
	NoTicket
	// Rejected: the worker takes the order for malformed.
	Rejected
)
