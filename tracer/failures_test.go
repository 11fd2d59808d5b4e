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
	"galenawharf.example/galenawharf/scheduler"
	"galenawharf.example/galenawharf/tracer"
)

const (
	failedID = "5c0e7a21d94b36f8"
	lease    = 6 * clock.Second
	config   = `{"version":1,"routes":[{"name":"q","host":"h","prefix":"/a/","service":"pool","max_attempts":2,"slack_factor":2}]}`
)

// host is one daemon with a log of its own.
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
	// Without a network another host is never reached, and the store does not answer
	// deposits.
	h.forward = forwarder.New(func() *elector.Elector { return h.elector }, &http.Client{Transport: unreachable{}}, clock.System,
		func(context.Context, scheduler.Spec) error { return depositor.ErrAway }, g.Emit)
	h.ingress = platform.NewIngress(h.forward.Serve, g.Emit)
	c, err := platform.DecodeConfig([]byte(config))
	must.NoError(t, err)
	h.ingress.SetConfig(c)
	h.elector = elector.New(s, name, name, name+"-life", func(ctx context.Context, term elector.Term) {
		c, err := conductor.New(ctx, conductor.Term{Epoch: term.Epoch, FormerIsOver: term.FormerIsOver, Confirmed: term.Confirmed},
			s, p.Fleet(), scheduler.New(scheduler.WithLease(lease), scheduler.WithEvents(g.Emit)), lease, imitator.DecodeEntry, conductor.WithEvents(g.Emit))
		if err != nil {
			return
		}
		h.forward.SetLocal(c)
		c.Wait()
		h.forward.SetLocal(nil)
	}, elector.WithEvents(g.Emit))
	return h
}

type unreachable struct{}

func (unreachable) RoundTrip(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }

func (h *host) submit(id string) int {
	r := httptest.NewRequest(http.MethodPost, "/a/"+id, strings.NewReader(`{"phases":[{"count":1,"cpu":100},{"count":1,"cpu":100,"after":[0]}]}`))
	r.Host = "h"
	w := httptest.NewRecorder()
	h.ingress.ServeHTTP(w, r)
	return w.Code
}

// leading returns the host that leads, and the other one.
func leading(a, b *host) (leader, other *host) {
	for {
		switch {
		case a.forward.Leading() != nil:
			return a, b
		case b.forward.Leading() != nil:
			return b, a
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFailuresAreExplained plays the three kinds of failed request of
// docs/OPERATIONS.md and looks for their causes in what the logs say of the id.
func TestFailuresAreExplained(t *testing.T) {
	tests := map[string]struct {
		ending scheduler.Ending
		play   func(t *testing.T, a, b *host, away *atomic.Bool)
		// told are parts of the story, in order.
		told []string
	}{
		"refused": {ending: scheduler.EndDone, play: func(t *testing.T, a, b *host, away *atomic.Bool) {
			leader, _ := leading(a, b)
			away.Store(true)
			// An append has to fail for a while before the store counts as away.
			must.Eq(t, http.StatusBadGateway, leader.submit("00000000000000aa"))
			time.Sleep(time.Second)
			must.Eq(t, http.StatusServiceUnavailable, leader.submit(failedID))
		}, told: []string{"GE6001 this daemon leads", "GE6011 request refused", "reason=the store does not answer retry-after-ms=1000"}},
		"accepted, but late": {ending: scheduler.EndDone, play: func(t *testing.T, a, b *host, _ *atomic.Bool) {
			leader, other := leading(a, b)
			must.Eq(t, http.StatusOK, leader.submit(failedID))
			time.Sleep(100 * time.Millisecond)
			leader.elector.Close()
			leading(other, other)
			time.Sleep(10 * time.Second)
		}, told: []string{"GE6010 job accepted", "GE6002 this daemon no longer leads", "GE6001 this daemon leads epoch=2", "GE6020 run placed", "GE6013 job ended", "phase=completed"}},
		"accepted, and shown as failed": {ending: scheduler.EndFailed, play: func(t *testing.T, a, b *host, _ *atomic.Bool) {
			leader, _ := leading(a, b)
			must.Eq(t, http.StatusOK, leader.submit(failedID))
			time.Sleep(10 * time.Second)
		}, told: []string{"GE6010 job accepted", "GE6021 run failed attempt=1 failures=1", "GE6021 run failed attempt=2 failures=2", "GE6013 job ended", "phase=failed"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var away atomic.Bool
				l := imitator.NewKeyedLog(4, func(_, call, topic string) imitator.StoreFault {
					if away.Load() && call == "append" && topic == "jobs" {
						return imitator.StoreSilent
					}
					return imitator.StoreFine
				})
				p := imitator.NewPool(2, 4, func(scheduler.TaskName, int) (clock.Millis, scheduler.Ending) { return 500, tc.ending }, nil)
				p.Register(l)
				a, b := startHost(t, "a", l, p), startHost(t, "b", l, p)
				defer a.elector.Close()
				defer b.elector.Close()
				tc.play(t, a, b, &away)
				a.elector.Close()
				b.elector.Close()
				lines, err := tracer.Read(failedID, &a.log, &b.log)
				must.NoError(t, err)
				var story strings.Builder
				must.NoError(t, tracer.Write(&story, lines))
				rest := story.String()
				for _, part := range tc.told {
					_, after, ok := strings.Cut(rest, part)
					must.True(t, ok, must.Sprintf("%q is not told, or not in this order:\n%s", part, story.String()))
					rest = after
				}
			})
		})
	}
}
