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

// BenchmarkCheck takes whole checks to an executor over HTTP on the loopback,
// through a dispatcher and straight.
func BenchmarkCheck(b *testing.B) {
	e := imitator.NewExecutor(64, func(context.Context, clock.Millis) error { return nil }, takes(0))
	s := httptest.NewServer(imitator.ExecutorHandler(e))
	defer s.Close()
	c := dialer.New(dialer.WithConnectionsPerHost(64))
	defer c.Close()
	address := s.Listener.Addr().String()
	var n atomic.Int64
	b.Run("straight", func(b *testing.B) {
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
