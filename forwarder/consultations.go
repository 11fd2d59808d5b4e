package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// exchange carries the answer to one consultation to the leader, and the next one
	// back.
	exchange struct {
		Verdict      *scheduler.Verdict      `json:"verdict,omitempty"`
		Consultation *scheduler.Consultation `json:"consultation,omitempty"`
	}
)

const (
	consultationsPath = "/consultations"
	// consultWait is how long the leader holds a daemon that waits for a
	// consultation. A connection that has gone silent shows after it.
	consultWait = clock.Second
	// exchangeMargin is allowed for an answer beyond the wait.
	exchangeMargin = 800 * clock.Millis(1)
)

// ErrNoLeader is the error for an exchange with a daemon that does not lead.
var ErrNoLeader = errors.New("no leader takes part")

// Consult brings the leader the answer to the last consultation, if there was one, and
// returns the next, or nil if there is none for now.
func (f *Forwarder) Consult(ctx context.Context, v *scheduler.Verdict) (*scheduler.Consultation, error) {
	if c := f.local.Load(); c != nil {
		return consult(ctx, c, v), nil
	}
	address, here := f.elector().Leader()
	if address == "" || here {
		return nil, errors.Wrap(ErrNoLeader, "forwarder.Consult")
	}
	ctx, cancel := context.WithTimeout(ctx, (consultWait + exchangeMargin).Duration())
	defer cancel()
	var e exchange
	switch status, err := f.call(ctx, address+consultationsPath, exchange{Verdict: v}, &e); {
	case err != nil:
		return nil, errors.Wrap(err, "forwarder.Consult")
	case status != http.StatusOK:
		return nil, errors.Wrapf(ErrNoLeader, "forwarder.Consult: status %d", status)
	}
	return e.Consultation, nil
}

func consult(ctx context.Context, c *conductor.Conductor, v *scheduler.Verdict) *scheduler.Consultation {
	if v != nil {
		c.Advise(*v)
	}
	ctx, cancel := context.WithTimeout(ctx, consultWait.Duration())
	defer cancel()
	q, ok := c.Consult(ctx)
	if !ok {
		return nil
	}
	return &q
}

// serveConsultation answers a daemon that takes part.
func (f *Forwarder) serveConsultation(w http.ResponseWriter, r *http.Request) {
	var e exchange
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&e); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := f.local.Load()
	if c == nil {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b, err := json.Marshal(exchange{Consultation: consult(r.Context(), c, e.Verdict)})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A peer that has left can't be told anything; its consultation is asked again.
	_, _ = w.Write(b)
}
