// Package forwarder passes decoded requests of callers to the daemon that leads.
package forwarder

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Verb is what a caller asks for.
	Verb string

	// Outcome is what is known of a request.
	Outcome string

	// Request is a request of a caller.
	Request struct {
		Verb Verb `json:"verb"`
		// Spec is whole for Submit; the others use its id and queue.
		Spec scheduler.Spec `json:"spec"`
	}

	// Reply is the answer to a request.
	Reply struct {
		Outcome Outcome         `json:"outcome"`
		Phase   scheduler.Phase `json:"phase,omitempty"`
		Pending int             `json:"pending,omitempty"`
		// RetryAfter goes with Refused.
		RetryAfter clock.Millis `json:"retry-after,omitempty"`
		Error      string       `json:"error,omitempty"`
		// StoreAway is whether the leader refused because the store does not answer it.
		StoreAway bool `json:"store-away,omitempty"`
		// Leader is the newest claim that a daemon which does not lead knows.
		Leader *elector.Claim `json:"leader,omitempty"`
	}
)

// Verbs.
const (
	Submit  Verb = "submit"
	Cancel  Verb = "cancel"
	Phase   Verb = "phase"
	Pending Verb = "pending"
)

// Outcomes.
const (
	OK Outcome = "ok"
	// Unknown: there is no such job.
	Unknown Outcome = "unknown"
	// Invalid: the request can't be carried out by anyone.
	Invalid Outcome = "invalid"
	// Refused: the request has not run and will not.
	Refused Outcome = "refused"
	// NotLeading: the daemon asked does not lead; nothing was done.
	NotLeading Outcome = "not-leading"
	// Unclear: the request may have been carried out.
	Unclear Outcome = "unclear"
)

const (
	// RetrySoon is the wait that callers are asked for while a leader is elected or
	// the store is away; a takeover takes about two seconds, and callers spread
	// their own returns.
	RetrySoon = clock.Second
)

// reads reports whether a request changes nothing, so that it may be refused although
// it was carried out.
func (v Verb) reads() bool { return v == Phase || v == Pending }
