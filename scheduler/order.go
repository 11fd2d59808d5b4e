package scheduler

import "galenawharf.example/galenawharf/clock"

type (
	// OrderKind is the action that an order asks of a worker.
	OrderKind int

	// Order is a request to a worker about one run.
	Order struct {
		Kind    OrderKind
		Worker  string
		Address string
		Born    int64
		Task    TaskName
		Attempt int
		// Text, Checkpoint and Ticket apply to Start; Percent is the new pace for Pace.
		Text       string
		Checkpoint string
		// Ticket is empty for queues without a policy.
		Ticket  string
		Percent int
		// Deadline is the new end of the worker's lease, on the worker's clock.
		Deadline clock.Millis
	}

	// Outcome is the result of sending an order.
	Outcome int

	// Ack is the highest stored number of the ended runs of one worker process.
	Ack struct {
		Born   int64
		Number int64
	}

	// Record is a stored job or model; a nil Value deletes the key.
	Record struct {
		Key   string
		Value []byte
	}

	// Batch is a set of changes that is stored atomically. Its orders and replies may be
	// sent only after it is stored.
	Batch struct {
		Records []Record
		Orders  []Order
		// Acks has, by worker ID, the highest number of an ended run whose result the
		// batch stores.
		Acks map[string]Ack
		// replies are sent when the batch is stored.
		replies []reply
		// phases are the job phases that the batch stores.
		phases map[*job]Phase
		// Heard are the workers whose records of silence the batch deletes, by ID.
		Heard []string
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
	// Done: the worker has carried out the order, perhaps when it was sent before.
	Done Outcome = iota
	// Unclear: there was no answer. The order may have been carried out, or may still be,
	// seconds later.
	Unclear
	// NotSent: the connection failed, so the worker can't have received the order.
	NotSent
	// ConnectionRefused: the connection was refused; nothing listens at the worker's address.
	ConnectionRefused
	// NoRoom: the worker has too few free resources.
	NoRoom
	// Obsolete: this run has ended or was stopped on the worker, or the worker has a
	// newer one.
	Obsolete
	// Late: the lease had expired by the worker's clock.
	Late
	// Unavailable: the worker was overloaded or unavailable and did not carry out the order.
	Unavailable
	// WorkerRestarted: the worker has restarted; another process answered at its address.
	WorkerRestarted
	// Fenced: the worker has seen the fencing token of a newer leader.
	Fenced
	// NoTicket: the worker rejected the ticket.
	NoTicket
	// Rejected: the worker rejected the order as malformed.
	Rejected
	// Unheard: there was no answer, but the daemon itself was delayed meanwhile, so that this
	// says nothing of the worker. Otherwise as Unclear.
	Unheard
	// Withheld: the daemon has not sent the order, for a reason of its own.
	Withheld
	// Superseded: the order was not sent, because its run was released or stopped while the
	// order was queued.
	Superseded
)

// Answered reports whether the worker has answered the order.
func (o Outcome) Answered() bool {
	switch o {
	case Unclear, Unheard, NotSent, Withheld, Superseded, ConnectionRefused:
		return false
	default:
		return true
	}
}

// confirmsStop reports whether a worker that answered an order to stop a run with this
// outcome rejects later starts of that run.
func (o Outcome) confirmsStop() bool { return o == Done || o == Obsolete }
