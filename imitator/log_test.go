package imitator

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
)

// TestLog checks offsets, an append that takes effect though its response is lost, the
// rate limit, retention and the error while the log is down.
func TestLog(t *testing.T) {
	ctx := context.Background()
	c := clock.NewManual(0)
	l := NewLog(WithLogClock(c.Now), WithRetention(clock.Hour), WithAppendsPerSecond(2))
	p := l.Provider()

	first, err := p.Append(ctx, "s", [][]byte{{1}, {2}})
	must.NoError(t, err)
	must.Eq(t, provider.Offset(0), first)
	l.SetFaults(LogFaults{LoseAnswers: 1})
	_, err = p.Append(ctx, "s", [][]byte{{3}})
	must.Eq(t, coder.Internal, coder.Of(err))
	_, err = p.Append(ctx, "s", [][]byte{{4}})
	must.Eq(t, coder.RateLimited, coder.Of(err))

	page, err := p.Read(ctx, "s", 1, 10)
	must.NoError(t, err)
	must.Eq(t, []provider.Entry{{Offset: 1, Data: []byte{2}}, {Offset: 2, Data: []byte{3}}}, page.Entries)

	c.Advance(2 * clock.Hour)
	_, err = p.Append(ctx, "s", [][]byte{{5}})
	must.NoError(t, err)
	page, err = p.Read(ctx, "s", 0, 10)
	must.NoError(t, err)
	must.Eq(t, provider.Offset(3), page.Oldest)
	must.Eq(t, provider.Offset(4), page.Next)
	must.Len(t, 1, page.Entries)

	l.SetFaults(LogFaults{Down: true})
	_, err = p.Append(ctx, "s", nil)
	must.Eq(t, coder.LogDown, coder.Of(err))
	_, err = p.Read(ctx, "s", 0, 1)
	must.Eq(t, coder.LogDown, coder.Of(err))
}

// TestHostsLag checks that readers get a change of the list only after the lag.
func TestHostsLag(t *testing.T) {
	c := clock.NewManual(0)
	h := NewHosts(c.Now, clock.Second)
	c.Advance(10)
	h.Set([]provider.Host{{Name: "w1"}})
	got, err := h.Provider().List(context.Background())
	must.NoError(t, err)
	must.Len(t, 0, got)
	c.Advance(clock.Second)
	got, err = h.Provider().List(context.Background())
	must.NoError(t, err)
	must.Len(t, 1, got)
	h.SetDown(true)
	_, err = h.Provider().List(context.Background())
	must.Eq(t, coder.Unreachable, coder.Of(err))
}
