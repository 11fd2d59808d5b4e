package tracer_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/forwarder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/platform"
	"galenawharf.example/galenawharf/runner"
	"galenawharf.example/galenawharf/scheduler"
	"galenawharf.example/galenawharf/tracer"
)

const (
	requestID     = "5c0e7a21d94b36f8"
	leaseDuration = 6 * clock.Second
	config        = `{"version":1,"routes":[{"name":"q","host":"h","prefix":"/a/","service":"pool","max_attempts":2,"slack_factor":2}]}`
)

// host is a daemon in this process, with its own log.
type host struct {
	log     bytes.Buffer
	elector *elector.Elector
	forward *forwarder.Forwarder
	ingress *platform.Ingress
}

func startHost(t *testing.T, name string, l *imitator.KeyedLog, p *imitator.Pool) *host {
	t.Helper()
	h := &host{}
	g, err := logger.New(&h.log, "debug", logger.String("host", name))
	must.NoError(t, err)
	s := l.Client(name)
	// Hosts can't reach each other, and the store doesn't accept jobs for an unreachable
	// leader.
	h.forward = forwarder.New(func() *elector.Elector { return h.elector }, &http.Client{Transport: noNetwork{}}, clock.System,
		func(context.Context, scheduler.Spec) error { return depositor.ErrUnavailable }, g.Emit)
	h.ingress = platform.NewIngress(h.forward.Serve, g.Emit)
	c, err := platform.DecodeConfig([]byte(config))
	must.NoError(t, err)
	h.ingress.SetConfig(c)
	h.elector = elector.New(s, name, name, name+"-life", func(ctx context.Context, term elector.Term) {
		c, err := conductor.New(ctx, runner.TermOf(term),
			s, p.Fleet(), scheduler.New(scheduler.WithLease(leaseDuration), scheduler.WithEvents(g.Emit)), leaseDuration, imitator.DecodeEntry, conductor.WithEvents(g.Emit))
		if err != nil {
			return
		}
		h.forward.SetLocal(c)
		c.Wait()
		h.forward.SetLocal(nil)
	}, elector.WithEvents(g.Emit))
	return h
}

type noNetwork struct{}

func (noNetwork) RoundTrip(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }

func (h *host) submit(id string) int {
	r := httptest.NewRequest(http.MethodPost, "/a/"+id, strings.NewReader(`{"phases":[{"count":1,"cpu":100},{"count":1,"cpu":100,"after":[0]}]}`))
	r.Host = "h"
	w := httptest.NewRecorder()
	h.ingress.ServeHTTP(w, r)
	return w.Code
}

// waitForLeader waits until one of the hosts leads and returns it first.
func waitForLeader(a, b *host) (leader, other *host) {
	for {
		switch {
		case a.forward.Local() != nil:
			return a, b
		case b.forward.Local() != nil:
			return b, a
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestTraceShowsWhyRequestsFail provokes the three kinds of failed request that
// docs/OPERATIONS.md describes and checks that the trace of the id shows their causes. It
// guards against an event that loses the id or a field that the diagnosis needs.
func TestTraceShowsWhyRequestsFail(t *testing.T) {
	tests := map[string]struct {
		ending   scheduler.Ending
		scenario func(t *testing.T, a, b *host, storeDown *atomic.Bool)
		// wantInOrder are parts of the trace that must occur in this order.
		wantInOrder []string
	}{
		"refused": {ending: scheduler.EndDone, scenario: func(t *testing.T, a, b *host, storeDown *atomic.Bool) {
			leader, _ := waitForLeader(a, b)
			storeDown.Store(true)
			// The store counts as down only after an append has failed for a while.
			must.Eq(t, http.StatusBadGateway, leader.submit("00000000000000aa"))
			time.Sleep(time.Second)
			must.Eq(t, http.StatusServiceUnavailable, leader.submit(requestID))
		}, wantInOrder: []string{"GE6001 this daemon leads", "GE6011 request refused", "reason=the store does not answer retry-after-ms=1000"}},
		"accepted, but late": {ending: scheduler.EndDone, scenario: func(t *testing.T, a, b *host, _ *atomic.Bool) {
			leader, other := waitForLeader(a, b)
			must.Eq(t, http.StatusOK, leader.submit(requestID))
			time.Sleep(100 * time.Millisecond)
			leader.elector.Close()
			waitForLeader(other, other)
			time.Sleep(10 * time.Second)
		}, wantInOrder: []string{"GE6010 job accepted", "GE6002 this daemon no longer leads", "GE6001 this daemon leads epoch=2", "GE6020 run placed", "GE6013 job ended", "phase=completed"}},
		"accepted, and shown as failed": {ending: scheduler.EndFailed, scenario: func(t *testing.T, a, b *host, _ *atomic.Bool) {
			leader, _ := waitForLeader(a, b)
			must.Eq(t, http.StatusOK, leader.submit(requestID))
			time.Sleep(10 * time.Second)
		}, wantInOrder: []string{"GE6010 job accepted", "GE6021 run failed attempt=1 failures=1", "GE6021 run failed attempt=2 failures=2", "GE6013 job ended", "phase=failed"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var storeDown atomic.Bool
				l := imitator.NewKeyedLog(4, func(_, call, topic string) imitator.StoreFault {
					if storeDown.Load() && call == "append" && topic == "jobs" {
						return imitator.StoreSilent
					}
					return imitator.StoreFine
				})
				p := imitator.NewPool(2, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 500, tc.ending }, nil)
				p.Register(l)
				a, b := startHost(t, "a", l, p), startHost(t, "b", l, p)
				defer a.elector.Close()
				defer b.elector.Close()
				tc.scenario(t, a, b, &storeDown)
				a.elector.Close()
				b.elector.Close()
				lines, err := tracer.Read(requestID, &a.log, &b.log)
				must.NoError(t, err)
				var trace strings.Builder
				must.NoError(t, tracer.Write(&trace, lines))
				rest := trace.String()
				for _, part := range tc.wantInOrder {
					_, after, ok := strings.Cut(rest, part)
					must.True(t, ok, must.Sprintf("%q is missing or out of order in the trace:\n%s", part, trace.String()))
					rest = after
				}
			})
		})
	}
}
