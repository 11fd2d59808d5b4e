// Package forwarder passes decoded requests of callers to the leading daemon. If the
// leader can't be reached, jobs are deposited in the platform's store.
//
// It also exchanges consultations with the leader: calls to the policy service that all
// daemons make on behalf of the leader (package adviser).
package forwarder

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Verb is the operation that a caller requests.
	Verb string

	// Outcome is the result of a request, as far as it is known.
	Outcome string

	// Request is a decoded request of a caller.
	Request struct {
		Verb Verb `json:"verb"`
		// Spec is the whole job for Submit; other verbs use only its id, queue and tenant.
		Spec scheduler.Spec `json:"spec"`
		// Patience is how long the caller waits for the reply from when the request was
		// received, 0 if that is not known.
		Patience clock.Millis `json:"patience,omitempty"`
		// KeyDigest is the whole digest of the caller's key (authenticator.Digest.Text); empty
		// without a key, or with one that no tenant can have.
		KeyDigest string `json:"key-digest,omitempty"`
		// ConfigVersion is the version of the configuration by which Spec.Tenant was set.
		ConfigVersion int64 `json:"config-version,omitempty"`
		// Unjudged is set if the key is unknown to the host that received the request, but may
		// be in a newer configuration. Such a request must not be executed or deposited.
		Unjudged bool `json:"unjudged,omitempty"`
		// MayBeRevoked is set if the key may have been withdrawn since the host read its
		// configuration, and must then be refused.
		MayBeRevoked bool `json:"may-be-revoked,omitempty"`
	}

	// Reply is the response to a Request.
	Reply struct {
		Outcome Outcome `json:"outcome"`
		// Phase is set for the verb Phase.
		Phase scheduler.Phase `json:"phase,omitempty"`
		// Pending is the number of jobs that wait in the queue, for the verb Pending.
		Pending int `json:"pending,omitempty"`
		// RetryAfter is when the caller should retry; only set with Refused.
		RetryAfter clock.Millis `json:"retry-after,omitempty"`
		Error      string       `json:"error,omitempty"`
		// Code is the numbered error; 0 if there is none.
		Code coder.Code `json:"code,omitempty"`
		// StoreUnavailable is set if the leader refused because the store doesn't answer it.
		StoreUnavailable bool `json:"store-away,omitempty"`
		// Overloaded is set if the leader refused because it could not start the job in time, or
		// because the job's tenant submits more than it may.
		Overloaded bool `json:"overloaded,omitempty"`
		// Leader is the newest claim known to the daemon; only set with NotLeading.
		Leader *elector.Claim `json:"leader,omitempty"`
	}
)

// Verbs of a Request.
const (
	Submit Verb = "submit"
	Cancel Verb = "cancel"
	// Phase asks for the state of a job.
	Phase Verb = "phase"
	// Pending asks for the number of jobs that wait in a queue.
	Pending Verb = "pending"
)

// Outcomes of a Request.
const (
	OK Outcome = "ok"
	// Unknown means that there is no such job.
	Unknown Outcome = "unknown"
	// Invalid means that the request is faulty; a retry fails in the same way.
	Invalid Outcome = "invalid"
	// Refused means that the request was not executed and will not be; it is safe to
	// retry.
	Refused Outcome = "refused"
	// Unauthenticated means that the request was not executed, as its key is not that of any
	// tenant.
	Unauthenticated Outcome = "unauthenticated"
	// NotLeading means that the daemon doesn't lead; nothing was executed.
	NotLeading Outcome = "not-leading"
	// Unclear means that the request may have been executed.
	Unclear Outcome = "unclear"
)

const (
	// RetrySoon is the Retry-After time while a leader is elected or the store is
	// unavailable. A takeover takes about two seconds; callers add their own jitter.
	RetrySoon = clock.Second
)

// readOnly reports whether a request changes nothing. Such a request may be reported as
// Refused even if it was executed.
func (v Verb) readOnly() bool { return v == Phase || v == Pending }

// depositable reports whether a job with this reply may be deposited in the store.
func (r *Reply) depositable() bool {
	if r.Outcome != Refused && r.Outcome != Unclear {
		return false
	}
	// If the leader refused because the store doesn't answer, the caller gets this definite
	// refusal: a deposit would likely time out too, with an unclear outcome. An overloaded leader
	// could not start a deposited job in time either, and a deposit isn't a way around the rate
	// of a tenant.
	return !r.StoreUnavailable && !r.Overloaded && r.Code != coder.OverRate
}
