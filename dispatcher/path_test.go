package dispatcher

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/dialer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
)

// BenchmarkCheck measures a check over HTTP on the loopback, through a dispatcher and
// directly to the executor.
func BenchmarkCheck(b *testing.B) {
	e := imitator.NewExecutor(64, func(context.Context, clock.Millis) error { return nil }, fixedTime(0))
	s := httptest.NewServer(imitator.ExecutorHandler(e))
	defer s.Close()
	c := dialer.New(dialer.WithConnectionsPerHost(64))
	defer c.Close()
	address := s.Listener.Addr().String()
	var n atomic.Int64
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := c.Executors().Run(b.Context(), address, provider.Request{ID: fmt.Sprint(n.Add(1)), Service: "s", Payload: []byte("crossing 12")})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("dispatcher", func(b *testing.B) {
		d, err := New(WithExecutors(c.Executors()), WithName("e1"), WithDataCentre("a"))
		if err != nil {
			b.Fatal(err)
		}
		d.SetView(NewView([]provider.Host{{Address: address, Service: "s", Slots: 64, Connections: 64}}, nil, []declarer.Service{{Name: "s", Limits: declarer.RequestLimits{PerSecond: 1_000_000}}}, nil))
		b.ReportAllocs()
		for b.Loop() {
			a := d.Check(b.Context(), request(fmt.Sprint(n.Add(1)), 10_000))
			if a.GetResultCode() != 0 {
				b.Fatal(a.GetReason())
			}
		}
		b.StopTimer()
		_ = d.Close(b.Context())
	})
}

// BenchmarkSetView measures SetView by number of executors.
func BenchmarkSetView(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newIdleDispatcher(b, n)
			v := benchmarkView(n)
			b.ReportAllocs()
			for b.Loop() {
				d.SetView(v)
			}
		})
	}
}

// BenchmarkControlStep measures one step of the controller by number of executors.
func BenchmarkControlStep(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newIdleDispatcher(b, n)
			c := newController(d.now, d.snapshot.Load, newCallCache(), d.policy)
			b.ReportAllocs()
			for b.Loop() {
				c.step()
			}
		})
	}
}

func newIdleDispatcher(b *testing.B, executors int) *Dispatcher {
	b.Helper()
	d, err := New(WithExecutors(provider.Executors{
		Run: func(context.Context, string, provider.Request) (provider.Response, error) {
			return provider.Response{}, nil
		},
		Cancel: func(context.Context, string, string) (provider.CancelState, error) { return "", nil },
	}), WithName("e0"), WithDataCentre("d0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = d.Close(context.Background()) })
	d.SetView(benchmarkView(executors))
	return d
}

// benchmarkView returns a view with the given number of executors and 8 to 56 entry
// hosts.
func benchmarkView(executors int) *View {
	var hosts, entries []provider.Host
	for i := range executors {
		hosts = append(hosts, provider.Host{Address: fmt.Sprint(i), Service: "s", DataCentre: fmt.Sprint("d", i%8), Slots: 8, Connections: 64})
	}
	for i := range 8 + 48*executors/1000 {
		entries = append(entries, provider.Host{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("d", i%8)})
	}
	return NewView(hosts, entries, nil, nil)
}
