package dialer

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

func noDelay(context.Context, clock.Millis) error { return nil }

func TestLogOverHTTP(t *testing.T) {
	l := imitator.NewLog()
	s := httptest.NewServer(imitator.LogHandler(l, noDelay))
	defer s.Close()
	c := New()
	defer c.Close()
	p := c.Log(s.Listener.Addr().String())
	tests := map[string]struct {
		faults   imitator.LogFaults
		want     coder.Code
		appended int64
	}{
		"up":          {want: coder.OK, appended: 1},
		"down":        {faults: imitator.LogFaults{Down: true}, want: coder.LogDown},
		"answer lost": {faults: imitator.LogFaults{LoseAnswers: 1}, want: coder.Internal, appended: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			before := l.Appends()
			l.SetFaults(tc.faults)
			_, err := p.Append(context.Background(), "s", [][]byte{{1, 2}})
			must.Eq(t, tc.want, coder.Of(err))
			must.Eq(t, tc.appended, l.Appends()-before)
		})
	}
	l.SetFaults(imitator.LogFaults{})
	page, err := p.Read(context.Background(), "s", 0, 10)
	must.NoError(t, err)
	must.Len(t, 2, page.Entries)
	must.Eq(t, []byte{1, 2}, page.Entries[0].Data)
}

func TestWorkerAndExecutorOverHTTP(t *testing.T) {
	ctx := context.Background()
	w := imitator.NewWorker(sizer.New(1000, 1000, 0), clock.System, imitator.AsDeclared)
	e := imitator.NewExecutor(1, noDelay, func(provider.Request) clock.Millis { return 0 })
	ws := httptest.NewServer(imitator.WorkerHandler(w, noDelay))
	defer ws.Close()
	es := httptest.NewServer(imitator.ExecutorHandler(e))
	defer es.Close()
	c := New()
	defer c.Close()

	inv, err := c.Workers().Inventory(ctx, ws.Listener.Addr().String(), provider.Fence{Shard: "s", Epoch: 1})
	must.NoError(t, err)
	must.Eq(t, "0", inv.Stamp.Boot)
	_, err = c.Workers().Stop(ctx, ws.Listener.Addr().String(), provider.TaskOrder{Fence: provider.Fence{Shard: "s", Epoch: 1}})
	must.Eq(t, coder.Fenced, coder.Of(err))

	r, err := c.Executors().Run(ctx, es.Listener.Addr().String(), provider.Request{ID: "1", Payload: []byte("x")})
	must.NoError(t, err)
	must.Eq(t, "checked: x", string(r.Payload))
	must.Eq(t, imitator.DigestOf(r.Payload), r.Digest)
	state, err := c.Executors().Cancel(ctx, es.Listener.Addr().String(), "1")
	must.NoError(t, err)
	must.Eq(t, provider.CancelRunning, state)
}
