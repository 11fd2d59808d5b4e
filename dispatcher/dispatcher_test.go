package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// bench is a dispatcher over stand-ins, in the virtual time of a bubble.
	bench struct {
		*Dispatcher
		executors []*imitator.Executor
		hosts     []provider.Host
	}
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sleep passes virtual time.
func sleep(ctx context.Context, m clock.Millis) error {
	timer := time.NewTimer(m.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newBench(t *testing.T, executors, slots int, service func(provider.Request) clock.Millis, limits declarer.RequestLimits) *bench {
	t.Helper()
	b := &bench{}
	for i := range executors {
		b.executors = append(b.executors, imitator.NewExecutor(slots, sleep, service))
		b.hosts = append(b.hosts, provider.Host{Address: fmt.Sprint(i), Service: "s", DataCentre: "a", Slots: slots, Connections: 64})
	}
	find := func(address string) *imitator.Executor {
		var i int
		_, _ = fmt.Sscan(address, &i)
		return b.executors[i]
	}
	d, err := New(WithExecutors(imitator.ExecutorsOf(find)), WithName("e1"), WithDataCentre("a"), WithSeed(1))
	must.NoError(t, err)
	b.Dispatcher = d
	b.show(limits)
	return b
}

func (b *bench) show(limits declarer.RequestLimits) {
	b.SetView(NewView(b.hosts, nil, []declarer.Service{{Name: "s", Team: "t", Limits: limits}}, nil))
}

func (b *bench) ran(id string) int {
	n := 0
	for _, e := range b.executors {
		n += e.Ran("t/" + id)
	}
	return n
}

func takes(m clock.Millis) func(provider.Request) clock.Millis {
	return func(provider.Request) clock.Millis { return m }
}

func request(id string, timeout clock.Millis) *schema.CheckRequest {
	return &schema.CheckRequest{RequestId: id, Team: "t", Service: "s", Payload: []byte(id), TimeoutMillis: int64(timeout)}
}

func codeOf(a *schema.Answer) coder.Code { return coder.Code(a.GetResultCode()) }

// warm lets the dispatcher learn the usual latency.
func (b *bench) warm(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request(fmt.Sprint("warm", i), 10_000))))
	}
}

func TestCheckOutcomes(t *testing.T) {
	tests := map[string]struct {
		faults  imitator.ExecutorFaults
		request *schema.CheckRequest
		want    coder.Code
		ran     int
		by      clock.Millis
	}{
		"answered":           {want: coder.OK, ran: 1, by: 10},
		"refused by all":     {faults: imitator.ExecutorFaults{Down: true}, want: coder.NotRun, by: 100},
		"answer lost once":   {faults: imitator.ExecutorFaults{LoseAnswers: 1}, want: coder.OK, ran: 2, by: 100},
		"answers lost":       {faults: imitator.ExecutorFaults{LoseAnswers: 9}, want: coder.Unknown, ran: 4, by: 100},
		"answer cut once":    {faults: imitator.ExecutorFaults{CutAnswers: 1}, want: coder.OK, ran: 2, by: 100},
		"answers cut":        {faults: imitator.ExecutorFaults{CutAnswers: 9}, want: coder.Incomplete, ran: 4, by: 100},
		"silent":             {faults: imitator.ExecutorFaults{Silent: true}, want: coder.Unknown, ran: 1, by: 1000},
		"too slow":           {faults: imitator.ExecutorFaults{Slower: 2000}, want: coder.Unknown, ran: 1, by: 1000},
		"no id":              {request: &schema.CheckRequest{Service: "s"}, want: coder.Missing},
		"no service":         {request: &schema.CheckRequest{RequestId: "1"}, want: coder.Missing},
		"unknown service":    {request: &schema.CheckRequest{RequestId: "1", Service: "x"}, want: coder.NoBackend},
		"negative timeout":   {request: &schema.CheckRequest{RequestId: "1", Service: "s", TimeoutMillis: -1}, want: coder.OutOfRange},
		"default timeout":    {request: &schema.CheckRequest{RequestId: "1", Team: "t", Service: "s"}, want: coder.OK, ran: 1, by: 10},
		"longest timeout":    {faults: imitator.ExecutorFaults{Silent: true}, request: request("1", clock.Hour), want: coder.Unknown, ran: 1, by: maxTimeout},
		"shortest timeout":   {request: request("1", 1), want: coder.Unknown, ran: 1, by: 1},
		"an empty payload":   {request: &schema.CheckRequest{RequestId: "1", Team: "t", Service: "s"}, want: coder.OK, ran: 1, by: 10},
		"two faults at once": {faults: imitator.ExecutorFaults{LoseAnswers: 1, CutAnswers: 1}, want: coder.OK, ran: 3, by: 200},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1, 8, takes(10), declarer.RequestLimits{})
				b.executors[0].SetFaults(tc.faults)
				q := tc.request
				if q == nil {
					q = request("1", 1000)
				}
				start := clock.System()
				a := b.Check(t.Context(), q)
				must.Eq(t, tc.want, codeOf(a), must.Sprint(a.GetReason()))
				must.LessEq(t, tc.by, clock.System()-start)
				must.NoError(t, b.Close(t.Context()))
				must.Eq(t, tc.ran, b.ran("1"))
				must.Eq(t, q.GetRequestId(), a.GetRequestId())
				if tc.want == coder.OK {
					must.Eq(t, "checked: "+string(q.GetPayload()), string(a.GetPayload()))
				}
			})
		})
	}
}

// A request that is sent again while it is in flight runs once; after its
// answer it gets the same one; another request with its id gets none of it.
func TestSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 8, takes(10), declarer.RequestLimits{})
		var w sync.WaitGroup
		for range 5 {
			w.Go(func() { must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("1", 1000)))) })
		}
		w.Wait()
		must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("1", 1000))))
		must.Eq(t, 1, b.ran("1"))
		other := request("1", 1000)
		other.Payload = []byte("another")
		must.Eq(t, coder.KeyTaken, codeOf(b.Check(t.Context(), other)))
		other.Team = "u"
		must.Eq(t, "checked: another", string(b.Check(t.Context(), other).GetPayload()))
		must.NoError(t, b.Close(t.Context()))
	})
}

// One caller that cancels doesn't take the answer from another that sent the
// same request; when the last one cancels, the request is called off.
func TestCancelledCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 8, takes(100), declarer.RequestLimits{})
		ctx, cancel := context.WithCancel(t.Context())
		var w sync.WaitGroup
		w.Go(func() { must.Eq(t, coder.Cancelled, codeOf(b.Check(ctx, request("1", 1000)))) })
		synctest.Wait()
		w.Go(func() { must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("1", 1000)))) })
		w.Go(func() { must.Eq(t, coder.Pending, codeOf(b.Check(t.Context(), request("1", 50)))) })
		w.Go(func() { must.Eq(t, coder.Cancelled, codeOf(b.Check(ctx, request("2", 1000)))) })
		synctest.Wait()
		cancel()
		synctest.Wait()
		must.Eq(t, 1, b.Stats().Executors()[0].InFlight()+b.Stats().Executors()[1].InFlight())
		w.Wait()
		must.Eq(t, 1, b.ran("1"))
		must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("2", 1000))))
		must.NoError(t, b.Close(t.Context()))
	})
}

// Close lets requests in flight and waiting ones end, and refuses new ones.
func TestCloseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1, takes(100), declarer.RequestLimits{})
		var w sync.WaitGroup
		for i := range 3 {
			w.Go(func() { must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request(fmt.Sprint(i), 10_000)))) })
		}
		synctest.Wait()
		w.Go(func() { must.NoError(t, b.Close(t.Context())) })
		synctest.Wait()
		a := b.Check(t.Context(), request("late", 10_000))
		must.Eq(t, coder.ShuttingDown, codeOf(a))
		must.Positive(t, a.GetRetryAfterMillis())
		w.Wait()
		must.Eq(t, 0, b.ran("late"))
	})
}

// A Close that ends before the requests do answers them and says how many.
func TestCloseInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1, takes(10_000), declarer.RequestLimits{})
		var w sync.WaitGroup
		w.Go(func() { must.Eq(t, coder.Unknown, codeOf(b.Check(t.Context(), request("1", 20_000)))) })
		synctest.Wait()
		w.Go(func() { must.Eq(t, coder.ShuttingDown, codeOf(b.Check(t.Context(), request("2", 20_000)))) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := b.Close(ctx)
		must.Eq(t, coder.Unknown, coder.Of(err))
		must.StrContains(t, err.Error(), "2 requests")
		w.Wait()
	})
}

// A leaving executor gets nothing new from the moment at which either the list
// or its own answer says so, and its requests in flight end.
func TestLeaving(t *testing.T) {
	tests := map[string]func(b *bench){
		"by its answer": func(b *bench) {
			b.executors[0].SetLeaving(true)
			for i := range 40 {
				b.Check(context.Background(), request(fmt.Sprint("notice", i), 1000))
			}
		},
		"by the list": func(b *bench) {
			b.hosts[0].Leaving = true
			b.show(declarer.RequestLimits{})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 2, 8, takes(10), declarer.RequestLimits{})
				var w sync.WaitGroup
				for i := range 16 {
					w.Go(func() { must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request(fmt.Sprint("early", i), 1000)))) })
				}
				synctest.Wait()
				leave(b)
				w.Wait()
				for i := range 50 {
					must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request(fmt.Sprint(i), 1000))))
					must.Eq(t, 0, b.executors[0].Ran(fmt.Sprint("t/", i)))
				}
				must.NoError(t, b.Close(t.Context()))
			})
		})
	}
}

// A refused request is told so at once, with the time at which to come back,
// and never ran.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1, takes(100), declarer.RequestLimits{Queue: 1000})
		b.warm(t, 400)
		var w sync.WaitGroup
		var mu sync.Mutex
		answered, refused := 0, 0
		for i := range 50 {
			w.Go(func() {
				start := clock.System()
				id := fmt.Sprint(i)
				a := b.Check(t.Context(), request(id, 1050))
				mu.Lock()
				defer mu.Unlock()
				if codeOf(a) == coder.OK {
					answered++
					return
				}
				refused++
				must.Eq(t, coder.Overloaded, codeOf(a))
				must.Positive(t, a.GetRetryAfterMillis())
				must.LessEq(t, 20, clock.System()-start)
				must.Eq(t, 0, b.ran(id))
			})
		}
		w.Wait()
		must.Eq(t, 10, answered)
		must.Eq(t, 40, refused)
		must.NoError(t, b.Close(t.Context()))
	})
}

// The declared limits of a service hold.
func TestDeclaredLimits(t *testing.T) {
	tests := map[string]struct {
		limits   declarer.RequestLimits
		requests int
		answered int
	}{
		"concurrent": {limits: declarer.RequestLimits{Concurrent: 2, Queue: 1}, requests: 10, answered: 3},
		"queue":      {limits: declarer.RequestLimits{Queue: 4}, requests: 20, answered: 12},
		"rate":       {limits: declarer.RequestLimits{PerSecond: 10, Queue: 1}, requests: 10, answered: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1, 8, takes(200), tc.limits)
				var w sync.WaitGroup
				var mu sync.Mutex
				answered := 0
				for i := range tc.requests {
					w.Go(func() {
						a := b.Check(t.Context(), request(fmt.Sprint(i), 10_000))
						mu.Lock()
						defer mu.Unlock()
						if codeOf(a) == coder.OK {
							answered++
						}
					})
				}
				w.Wait()
				must.Eq(t, tc.answered, answered)
				must.NoError(t, b.Close(t.Context()))
			})
		})
	}
}

func TestNewNeedsExecutors(t *testing.T) {
	_, err := New()
	must.Eq(t, coder.Missing, coder.Of(errors.Cause(err)))
}
