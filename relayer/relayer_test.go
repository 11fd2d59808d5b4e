package relayer

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

var errUnreachable = errors.New("log unreachable")

// unreachableLog returns a log whose calls all fail with an unknown outcome.
func unreachableLog() provider.Log {
	return provider.Log{
		Append: func(context.Context, string, [][]byte) (provider.Offset, error) { return 0, errUnreachable },
		Read: func(context.Context, string, provider.Offset, int) (provider.Page, error) {
			return provider.Page{}, errUnreachable
		},
	}
}

func noPeers() []Peer { return nil }

func TestRelayer(t *testing.T) {
	tests := map[string]struct {
		direct     func(l *imitator.Log) provider.Log
		peer       func(l *imitator.Log) provider.Log
		lost       int
		down       bool
		first      coder.Code
		second     coder.Code
		appends    int64
		readsAfter coder.Code
	}{
		"direct":              {direct: reachable, peer: unreachable, appends: 2},
		"through a peer":      {direct: unreachable, peer: reachable, first: coder.Internal, appends: 1},
		"unreachable for all": {direct: unreachable, peer: unreachable, first: coder.Internal, second: coder.Internal, readsAfter: coder.Internal},
		"down for all":        {direct: reachable, peer: reachable, down: true, first: coder.LogDown, second: coder.LogDown, readsAfter: coder.LogDown},
		"direct answer lost":  {direct: reachable, peer: reachable, lost: 1, first: coder.Internal, appends: 2},
		"relayed answer lost": {direct: unreachable, peer: reachable, lost: 1, first: coder.Internal, second: coder.Internal, appends: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.NewManual(0)
			l := imitator.NewLog(imitator.WithLogClock(c.Now))
			l.SetFaults(imitator.LogFaults{Down: tc.down, LoseAnswers: tc.lost})
			p := New(tc.peer(l), noPeers, c.Now)
			r := New(tc.direct(l), func() []Peer { return []Peer{{Name: "p", Relay: p.Serve}} }, c.Now)
			_, err := r.Log().Append(t.Context(), "s", [][]byte{{1}})
			must.Eq(t, tc.first, coder.Of(err))
			_, err = r.Log().Append(t.Context(), "s", [][]byte{{2}})
			must.Eq(t, tc.second, coder.Of(err))
			must.Eq(t, tc.appends, l.Appends())
			page, err := r.Log().Read(t.Context(), "s", 0, 10)
			must.Eq(t, tc.readsAfter, coder.Of(err))
			must.Eq(t, int(tc.appends), len(page.Entries))
		})
	}
}

func reachable(l *imitator.Log) provider.Log { return l.Provider() }

func unreachable(*imitator.Log) provider.Log { return unreachableLog() }

// TestRetriesDirectPath checks that a path that failed is used again after
// DefaultAvoidFor.
func TestRetriesDirectPath(t *testing.T) {
	c := clock.NewManual(0)
	l := imitator.NewLog(imitator.WithLogClock(c.Now))
	l.SetFaults(imitator.LogFaults{Down: true})
	r := New(l.Provider(), noPeers, c.Now)
	_, err := r.Log().Read(t.Context(), "s", 0, 1)
	must.Eq(t, coder.LogDown, coder.Of(err))
	must.False(t, r.ReachesLog())
	l.SetFaults(imitator.LogFaults{})
	c.Advance(DefaultAvoidFor)
	must.True(t, r.ReachesLog())
	_, err = r.Log().Read(t.Context(), "s", 0, 1)
	must.NoError(t, err)
}

// TestServeDoesNotRelayFurther checks that a peer that can't reach the log forwards the
// request to no other peer.
func TestServeDoesNotRelayFurther(t *testing.T) {
	c := clock.NewManual(0)
	relayed := 0
	r := New(unreachableLog(), func() []Peer {
		return []Peer{{Name: "q", Relay: func(context.Context, *schema.RelayRequest) (*schema.RelayResponse, error) {
			relayed++
			return &schema.RelayResponse{}, nil
		}}}
	}, c.Now)
	a, err := r.Serve(t.Context(), &schema.RelayRequest{Stream: "s", Limit: 1})
	must.NoError(t, err)
	must.Eq(t, int32(coder.Internal), a.GetResultCode())
	must.Zero(t, relayed)
}
