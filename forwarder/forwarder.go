package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Forwarder passes requests to the leader, which may be this daemon or one on another
	// host, and returns its replies. It is safe for concurrent use.
	Forwarder struct {
		elector func() *elector.Elector
		// local is the conductor of this daemon while it leads, else nil.
		local   atomic.Pointer[conductor.Conductor]
		client  *http.Client
		health  *leaderHealth
		deposit func(context.Context, scheduler.Spec) error
		emit    func(logger.Event, ...logger.Field)
		judge   func(*Request) Reply
	}

	// Option configures a Forwarder.
	Option func(*Forwarder)
)

const (
	requestsPath = "/requests"
	// maxRequestBytes is the largest request body from a peer. A job takes more space here
	// than in the caller's request, because our encoding has longer field names.
	maxRequestBytes = 4 << 20
	// maxHops is how many daemons are asked for one request: the known leader, and the
	// next one if the first no longer leads.
	maxHops = 2
	// forwardTimeout is how long the leader may take for a call before it is checked whether it
	// still answers. The leader itself reports within a second if it could not store a change,
	// unless the store is slow.
	forwardTimeout = 1200 * clock.Millis(1)
)

// WithJudge sets the function that judges a request by the configuration of this host. It is
// called before a request is executed, by the leader, and before a job is deposited. It sets the
// tenant if this host's configuration is newer than that of the request, and returns a Reply
// with the outcome OK unless the request must be refused. Without it every request is executed.
func WithJudge(judge func(*Request) Reply) Option {
	return func(f *Forwarder) { f.judge = judge }
}

// New returns a Forwarder that looks up the leader with the elector. deposit stores a
// job in the platform's store for the leader to pick up; it returns the errors of
// depositor.Depositor.
func New(e func() *elector.Elector, c *http.Client, now func() clock.Millis, deposit func(context.Context, scheduler.Spec) error, emit func(logger.Event, ...logger.Field), opts ...Option) *Forwarder {
	f := &Forwarder{
		elector: e, client: c, health: &leaderHealth{now: now, emit: emit}, deposit: deposit, emit: emit,
		judge: func(*Request) Reply { return Reply{Outcome: OK} },
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// SetLocal sets the conductor of this daemon; nil when it doesn't lead.
func (f *Forwarder) SetLocal(c *conductor.Conductor) { f.local.Store(c) }

// Local returns the conductor of this daemon; nil while it doesn't lead.
func (f *Forwarder) Local() *conductor.Conductor { return f.local.Load() }

// Serve handles a request that this host received from a caller. A job that the leader
// refused, or whose submission ended without a known outcome, is deposited in the store
// instead, where this leader or the next one picks it up.
func (f *Forwarder) Serve(ctx context.Context, q Request) Reply {
	r := f.askLeader(ctx, q)
	if q.Verb != Submit || !r.depositable() {
		return r
	}
	if v := f.judge(&q); v.Outcome != OK {
		if r.Outcome == Unclear {
			// The leader may have known the key, and executed the request.
			return r
		}
		return v
	}
	switch err := f.deposit(ctx, q.Spec); {
	case err == nil:
		f.emit(logger.JobDeposited, logger.String("id", q.Spec.ID), logger.String("reason", r.Error))
		return Reply{Outcome: OK}
	case errors.Is(err, depositor.ErrUnavailable):
		return r
	default:
		return unclear(err)
	}
}

// askLeader executes a request here if this daemon leads, else it forwards it to the
// leader. A daemon that doesn't lead responds with the newest claim to the leadership
// that it knows, and the request is then sent to the daemon that made the claim.
func (f *Forwarder) askLeader(ctx context.Context, q Request) Reply {
	for range maxHops {
		if c := f.local.Load(); c != nil {
			return f.execute(ctx, c, q)
		}
		address, here := f.elector().Leader()
		if address == "" || here {
			// here is also true after this daemon was elected, until its conductor has
			// started.
			return refusal("no leader is known")
		}
		if f.health.inBackoff(address) {
			return refusal("the leader does not answer: waiting to retry after a failed call")
		}
		r := f.forward(ctx, address, q)
		if r.Outcome != NotLeading {
			return r
		}
		epoch := f.elector().NewestClaim().Epoch
		if r.Leader != nil {
			f.elector().MergeClaim(*r.Leader)
		}
		if f.elector().NewestClaim().Epoch == epoch {
			break
		}
	}
	return refusal("the daemon known as leader does not lead")
}

// refusal returns the reply for a request that was not executed and will not be.
func refusal(msg string) Reply { return Reply{Outcome: Refused, RetryAfter: RetrySoon, Error: msg} }

// unclear returns the reply for a request that may have been executed.
func unclear(err error) Reply { return Reply{Outcome: Unclear, Error: err.Error()} }

// execute judges a request by the configuration of this daemon and runs it on its conductor.
func (f *Forwarder) execute(ctx context.Context, c *conductor.Conductor, q Request) Reply {
	if v := f.judge(&q); v.Outcome != OK {
		return v
	}
	if q.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Patience.Duration())
		defer cancel()
	}
	var err error
	r := Reply{Outcome: OK}
	switch q.Verb {
	case Submit:
		err = c.Submit(ctx, q.Spec)
	case Cancel:
		err = c.Cancel(ctx, q.Spec.ID, q.Spec.Tenant)
	case Phase:
		r.Phase, err = c.Phase(q.Spec.ID, q.Spec.Queue.Name, q.Spec.Tenant)
	case Pending:
		r.Pending, err = c.Pending(q.Spec.Queue.Name)
	default:
		return Reply{Outcome: Invalid, Error: "unknown verb " + string(q.Verb)}
	}
	return replyOf(err, q.Verb, r)
}

// replyOf maps the error of a request to a reply; it returns r if err is nil. Errors
// that leave open whether a change was stored become Unclear, never Refused.
func replyOf(err error, v Verb, r Reply) Reply {
	var overload conductor.OverloadError
	var limit conductor.TenantLimitError
	switch {
	case err == nil:
		return r
	case errors.Is(err, scheduler.ErrUnknown):
		return Reply{Outcome: Unknown}
	case errors.Is(err, conductor.ErrStoreUnavailable):
		r := refusal(err.Error())
		r.StoreUnavailable = true
		return r
	case errors.As(err, &overload):
		return Reply{Outcome: Refused, RetryAfter: overload.RetryAfter(), Error: err.Error(), Overloaded: true}
	case errors.As(err, &limit):
		return Reply{Outcome: Refused, RetryAfter: limit.RetryAfter(), Error: err.Error(), Overloaded: true, Code: coder.OverRate}
	case errors.Is(err, conductor.ErrUnconfirmed), errors.Is(err, conductor.ErrDepositsStale), errors.Is(err, scheduler.ErrTooManyCancels):
		return refusal(err.Error())
	case errors.Is(err, conductor.ErrTermEnded) && v.readOnly():
		return refusal(err.Error())
	case errors.Is(err, scheduler.ErrInvalid), errors.Is(err, scheduler.ErrConflict):
		return Reply{Outcome: Invalid, Error: err.Error(), Code: codeOf(err)}
	case errors.Is(err, scheduler.ErrOverCap):
		return Reply{Outcome: Invalid, Error: err.Error(), Code: coder.OverCap}
	default:
		return unclear(err)
	}
}

// codeOf returns the numbered error in the chain of err; 0 if there is none.
func codeOf(err error) coder.Code {
	var coded *coder.Error
	if !errors.As(err, &coded) {
		return 0
	}
	return coded.Code()
}

// forward sends a request to the leader at an address. After forwardTimeout it waits only for a
// submission, and only if the leader answers another call: it may be storing the job in a slow
// store, or be gone.
func (f *Forwarder) forward(ctx context.Context, address string, q Request) Reply {
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	check := time.AfterFunc(forwardTimeout.Duration(), func() {
		if q.Verb != Submit || !f.probe(timed, address) {
			cancel()
		}
	})
	defer check.Stop()
	var a Reply
	status, err := f.call(timed, address+requestsPath, q, &a)
	switch {
	case err == nil && status == http.StatusOK:
		f.health.recordAnswer()
		return a
	case err == nil:
		f.health.recordAnswer()
		return Reply{Outcome: Unclear, Error: "the leader responded with status " + http.StatusText(status)}
	case ctx.Err() == nil:
		f.health.recordFailure(address)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || q.Verb.readOnly() {
		return refusal("the leader does not answer: " + err.Error())
	}
	return unclear(err)
}

// call posts a document as JSON to a peer, without retries, and returns the status. The
// body of a response with status 200 is decoded into answer.
func (f *Forwarder) call(ctx context.Context, url string, document, answer any) (int, error) {
	b, err := json.Marshal(document)
	if err != nil {
		return 0, errors.Wrap(err, "forwarder.call")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(b))
	if err != nil {
		return 0, errors.Wrap(err, "forwarder.call")
	}
	// Without GetBody, net/http doesn't resend the request on its own.
	r.GetBody = nil
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "forwarder.call")
	}
	// Nothing more is read from the body; an error on close only means a lost connection.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, errors.Wrap(json.NewDecoder(resp.Body).Decode(answer), "forwarder.call")
}

// ServeHTTP handles the calls of other daemons: requests that they forward, and Consult.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == consultationsPath && r.Method == http.MethodPost {
		f.serveConsultation(w, r)
		return
	}
	if r.URL.Path != requestsPath || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var q Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var a Reply
	if c := f.local.Load(); c != nil {
		a = f.execute(r.Context(), c, q)
	} else {
		n := f.elector().NewestClaim()
		a = Reply{Outcome: NotLeading, Leader: &n}
	}
	b, err := json.Marshal(a)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The peer may have disconnected.
	_, _ = w.Write(b)
}
