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
	// exchange is the body of a consultation request and of its response: the request
	// carries the verdict on the previous consultation, the response the next
	// consultation.
	exchange struct {
		Verdict      *scheduler.Verdict      `json:"verdict,omitempty"`
		Consultation *scheduler.Consultation `json:"consultation,omitempty"`
	}
)

const (
	consultationsPath = "/consultations"
	// consultWait is the long-poll time: the leader holds a request for it while there
	// is no consultation. A dead connection is detected after it.
	consultWait = clock.Second
	// consultMargin is added to consultWait for the response to arrive.
	consultMargin = 800 * clock.Millis(1)
)

// ErrNoLeader is returned by Consult if no leader is known, or if the daemon that was
// called doesn't lead.
var ErrNoLeader = errors.New("no leader for consultations")

// Consult sends the leader the verdict on the last consultation, nil for none, and
// returns the next consultation. It waits up to a second for one and returns nil if
// there is none.
func (f *Forwarder) Consult(ctx context.Context, v *scheduler.Verdict) (*scheduler.Consultation, error) {
	if c := f.local.Load(); c != nil {
		return consult(ctx, c, v), nil
	}
	address, here := f.elector().Leader()
	if address == "" || here {
		return nil, errors.Wrap(ErrNoLeader, "forwarder.Consult")
	}
	ctx, cancel := context.WithTimeout(ctx, (consultWait + consultMargin).Duration())
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

// consult records a verdict with the conductor and waits for the next consultation.
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

// serveConsultation handles Consult calls of other daemons. It responds with 421 if this
// daemon doesn't lead.
func (f *Forwarder) serveConsultation(w http.ResponseWriter, r *http.Request) {
	var e exchange
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&e); err != nil {
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
	// If the peer has disconnected, the consultation is handed out again later.
	_, _ = w.Write(b)
}
