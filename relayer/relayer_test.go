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

var errCut = errors.New("no way")

// cut is a log that is out of reach: whatever is asked may have taken effect.
func cut() provider.Log {
	return provider.Log{
		Append: func(context.Context, string, [][]byte) (provider.Offset, error) { return 0, errCut },
		Read: func(context.Context, string, provider.Offset, int) (provider.Page, error) {
			return provider.Page{}, errCut
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
		"direct":                  {direct: up, peer: cutOff, appends: 2},
		"through a peer":          {direct: cutOff, peer: up, first: coder.Internal, appends: 1},
		"nobody reaches it":       {direct: cutOff, peer: cutOff, first: coder.Internal, second: coder.Internal, readsAfter: coder.Internal},
		"down for all":            {direct: up, peer: up, down: true, first: coder.LogDown, second: coder.LogDown, readsAfter: coder.LogDown},
		"answer lost on the way":  {direct: up, peer: up, lost: 1, first: coder.Internal, appends: 2},
		"answer lost by the peer": {direct: cutOff, peer: up, lost: 1, first: coder.Internal, second: coder.Internal, appends: 1},
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

func up(l *imitator.Log) provider.Log { return l.Provider() }

func cutOff(*imitator.Log) provider.Log { return cut() }

// TestTriesDirectAgain: a way that failed is used again after a while.
func TestTriesDirectAgain(t *testing.T) {
	c := clock.NewManual(0)
	l := imitator.NewLog(imitator.WithLogClock(c.Now))
	l.SetFaults(imitator.LogFaults{Down: true})
	r := New(l.Provider(), noPeers, c.Now)
	_, err := r.Log().Read(t.Context(), "s", 0, 1)
	must.Eq(t, coder.LogDown, coder.Of(err))
	must.False(t, r.Reaches())
	l.SetFaults(imitator.LogFaults{})
	c.Advance(DefaultAvoidFor)
	must.True(t, r.Reaches())
	_, err = r.Log().Read(t.Context(), "s", 0, 1)
	must.NoError(t, err)
}

// TestServeGoesNoFurther: a peer that can't reach the log asks no other.
func TestServeGoesNoFurther(t *testing.T) {
	c := clock.NewManual(0)
	asked := 0
	r := New(cut(), func() []Peer {
		return []Peer{{Name: "q", Relay: func(context.Context, *schema.RelayRequest) (*schema.RelayResponse, error) {
			asked++
			return &schema.RelayResponse{}, nil
		}}}
	}, c.Now)
	a, err := r.Serve(t.Context(), &schema.RelayRequest{Stream: "s", Limit: 1})
	must.NoError(t, err)
	must.Eq(t, int32(coder.Internal), a.GetResultCode())
	must.Zero(t, asked)
}
