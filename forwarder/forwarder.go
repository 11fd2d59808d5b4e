package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Forwarder answers requests by the leader, here or on another host.
	Forwarder struct {
		elector func() *elector.Elector
		local   atomic.Pointer[conductor.Conductor]
		client  *http.Client
		reach   *reach
		deposit func(context.Context, scheduler.Spec) error
		emit    func(logger.Event, ...logger.Field)
	}
)

const (
	path = "/requests"
	// maxRequest bounds the body from a peer: a caller's largest body with the
	// names of our own format.
	maxRequest = 4 << 20
	// hops bounds how often a request is sent on to a newer leader.
	hops = 2
	// forwardLimit bounds the call to the leader, which says within a second that it
	// could not store a change.
	forwardLimit = 1200 * clock.Millis(1)
)

// New returns a forwarder that asks the elector who leads. deposit stores a job where
// the leader finds it; its errors are those of depositor.Depositor.
func New(e func() *elector.Elector, c *http.Client, now func() clock.Millis, deposit func(context.Context, scheduler.Spec) error, emit func(logger.Event, ...logger.Field)) *Forwarder {
	return &Forwarder{elector: e, client: c, reach: &reach{now: now, emit: emit}, deposit: deposit, emit: emit}
}

// SetLocal names the conductor of this daemon while it leads, nil otherwise.
func (f *Forwarder) SetLocal(c *conductor.Conductor) { f.local.Store(c) }

// Leading returns the conductor of this daemon, nil while it does not lead.
func (f *Forwarder) Leading() *conductor.Conductor { return f.local.Load() }

// Serve answers a request of a caller. A job that the leader did not accept is
// deposited for it, or for the next one.
func (f *Forwarder) Serve(ctx context.Context, q Request) Reply {
	r := f.ask(ctx, q)
	if q.Verb != Submit || r.Outcome != Refused && r.Outcome != Unclear || r.StoreAway {
		// A store that does not answer the leader would hardly answer a deposit, and then
		// the refusal could not be given any more.
		return r
	}
	switch err := f.deposit(ctx, q.Spec); {
	case err == nil:
		f.emit(logger.JobDeposited, logger.String("id", q.Spec.ID), logger.String("reason", r.Error))
		return Reply{Outcome: OK}
	case errors.Is(err, depositor.ErrAway):
		return r
	default:
		return unclear(err)
	}
}

// ask answers a request by the leader.
func (f *Forwarder) ask(ctx context.Context, q Request) Reply {
	for range hops {
		if c := f.local.Load(); c != nil {
			return lead(ctx, c, q)
		}
		address, here := f.elector().Leader()
		if address == "" || here {
			return refusal("no leader is known")
		}
		if f.reach.paused(address) {
			return refusal("the leader did not answer just now")
		}
		r := f.forward(ctx, address, q)
		if r.Outcome != NotLeading {
			return r
		}
		before := f.elector().Newest().Epoch
		if r.Leader != nil {
			f.elector().Hint(*r.Leader)
		}
		if f.elector().Newest().Epoch == before {
			break
		}
	}
	return refusal("the daemon taken for the leader does not lead")
}

func refusal(why string) Reply { return Reply{Outcome: Refused, RetryAfter: RetrySoon, Error: why} }

func unclear(err error) Reply { return Reply{Outcome: Unclear, Error: err.Error()} }

// lead answers a request by the conductor of this daemon.
func lead(ctx context.Context, c *conductor.Conductor, q Request) Reply {
	var err error
	r := Reply{Outcome: OK}
	switch q.Verb {
	case Submit:
		err = c.Submit(ctx, q.Spec)
	case Cancel:
		err = c.Cancel(ctx, q.Spec.ID)
	case Phase:
		r.Phase, err = c.Phase(q.Spec.ID, q.Spec.Queue.Name)
	case Pending:
		r.Pending, err = c.Pending(q.Spec.Queue.Name)
	default:
		return Reply{Outcome: Invalid, Error: "unknown verb " + string(q.Verb)}
	}
	return replyOf(err, q.Verb, r)
}

// replyOf returns the reply for the error of a request, r for none. What is not known
// to be refused is not said to be.
func replyOf(err error, v Verb, r Reply) Reply {
	switch {
	case err == nil:
		return r
	case errors.Is(err, scheduler.ErrUnknown):
		return Reply{Outcome: Unknown}
	case errors.Is(err, conductor.ErrStoreAway):
		r := refusal(err.Error())
		r.StoreAway = true
		return r
	case errors.Is(err, conductor.ErrUnconfirmed), errors.Is(err, conductor.ErrUnread):
		return refusal(err.Error())
	case errors.Is(err, conductor.ErrOver) && v.reads():
		return refusal(err.Error())
	case errors.Is(err, scheduler.ErrInvalid), errors.Is(err, scheduler.ErrConflict):
		return Reply{Outcome: Invalid, Error: err.Error()}
	default:
		return unclear(err)
	}
}

// forward sends a request to the leader.
func (f *Forwarder) forward(ctx context.Context, address string, q Request) Reply {
	limited, cancel := context.WithTimeout(ctx, forwardLimit.Duration())
	defer cancel()
	var a Reply
	status, err := f.call(limited, address+path, q, &a)
	switch {
	case err == nil && status == http.StatusOK:
		f.reach.found()
		return a
	case err == nil:
		f.reach.found()
		return Reply{Outcome: Unclear, Error: "the leader answered " + http.StatusText(status)}
	case ctx.Err() == nil:
		f.reach.lost(address)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || q.Verb.reads() {
		return refusal("the leader does not answer: " + err.Error())
	}
	return unclear(err)
}

// call sends a document to a peer, once, and returns the status; an answer of 200 is
// read into answer.
func (f *Forwarder) call(ctx context.Context, url string, document, answer any) (int, error) {
	b, err := json.Marshal(document)
	if err != nil {
		return 0, errors.Wrap(err, "forwarder.call")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(b))
	if err != nil {
		return 0, errors.Wrap(err, "forwarder.call")
	}
	// Without it the library does not send a request twice by itself.
	r.GetBody = nil
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "forwarder.call")
	}
	// The body was read; closing it can only fail for a connection that is gone.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, errors.Wrap(json.NewDecoder(resp.Body).Decode(answer), "forwarder.call")
}

// ServeHTTP answers a peer.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == consultationsPath && r.Method == http.MethodPost {
		f.serveConsultation(w, r)
		return
	}
	if r.URL.Path != path || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var q Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var a Reply
	if c := f.local.Load(); c != nil {
		a = lead(r.Context(), c, q)
	} else {
		n := f.elector().Newest()
		a = Reply{Outcome: NotLeading, Leader: &n}
	}
	b, err := json.Marshal(a)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A peer that has left can't be told anything.
	_, _ = w.Write(b)
}
