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
	// harness is a dispatcher with simulated executors. It runs in the virtual time of a
	// synctest bubble.
	harness struct {
		*Dispatcher
		executors []*imitator.Executor
		hosts     []provider.Host
	}
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sleep waits in virtual time; it returns the error of ctx if that ends first.
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

func newHarness(t *testing.T, executors, slots int, service func(provider.Request) clock.Millis, limits declarer.RequestLimits) *harness {
	t.Helper()
	b := &harness{}
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
	b.updateView(limits)
	return b
}

func (b *harness) updateView(limits declarer.RequestLimits) {
	b.SetView(NewView(b.hosts, nil, []declarer.Service{{Name: "s", Team: "t", Limits: limits}}, nil))
}

func (b *harness) runs(id string) int {
	n := 0
	for _, e := range b.executors {
		n += e.Ran("t/" + id)
	}
	return n
}

func fixedTime(m clock.Millis) func(provider.Request) clock.Millis {
	return func(provider.Request) clock.Millis { return m }
}

func request(id string, timeout clock.Millis) *schema.CheckRequest {
	return &schema.CheckRequest{RequestId: id, Team: "t", Service: "s", Payload: []byte(id), TimeoutMillis: int64(timeout)}
}

func codeOf(a *schema.Answer) coder.Code { return coder.Code(a.GetResultCode()) }

// warmUp sends n requests, so that the dispatcher has latency estimates.
func (b *harness) warmUp(t *testing.T, n int) {
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
		within  clock.Millis
	}{
		"answered":           {want: coder.OK, ran: 1, within: 10},
		"refused by all":     {faults: imitator.ExecutorFaults{Down: true}, want: coder.NotRun, within: 100},
		"answer lost once":   {faults: imitator.ExecutorFaults{LoseAnswers: 1}, want: coder.OK, ran: 2, within: 100},
		"answers lost":       {faults: imitator.ExecutorFaults{LoseAnswers: 9}, want: coder.Unknown, ran: 4, within: 100},
		"answer cut once":    {faults: imitator.ExecutorFaults{CutAnswers: 1}, want: coder.OK, ran: 2, within: 100},
		"answers cut":        {faults: imitator.ExecutorFaults{CutAnswers: 9}, want: coder.Incomplete, ran: 4, within: 100},
		"silent":             {faults: imitator.ExecutorFaults{Silent: true}, want: coder.Unknown, ran: 1, within: 1000},
		"too slow":           {faults: imitator.ExecutorFaults{Slower: 2000}, want: coder.Unknown, ran: 1, within: 1000},
		"no id":              {request: &schema.CheckRequest{Service: "s"}, want: coder.Missing},
		"no service":         {request: &schema.CheckRequest{RequestId: "1"}, want: coder.Missing},
		"unknown service":    {request: &schema.CheckRequest{RequestId: "1", Service: "x"}, want: coder.NoBackend},
		"negative timeout":   {request: &schema.CheckRequest{RequestId: "1", Service: "s", TimeoutMillis: -1}, want: coder.OutOfRange},
		"default timeout":    {request: &schema.CheckRequest{RequestId: "1", Team: "t", Service: "s"}, want: coder.OK, ran: 1, within: 10},
		"longest timeout":    {faults: imitator.ExecutorFaults{Silent: true}, request: request("1", clock.Hour), want: coder.Unknown, ran: 1, within: maxTimeout},
		"shortest timeout":   {request: request("1", 1), want: coder.Unknown, ran: 1, within: 1},
		"an empty payload":   {request: &schema.CheckRequest{RequestId: "1", Team: "t", Service: "s"}, want: coder.OK, ran: 1, within: 10},
		"two faults at once": {faults: imitator.ExecutorFaults{LoseAnswers: 1, CutAnswers: 1}, want: coder.OK, ran: 3, within: 200},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, 1, 8, fixedTime(10), declarer.RequestLimits{})
				b.executors[0].SetFaults(tc.faults)
				q := tc.request
				if q == nil {
					q = request("1", 1000)
				}
				start := clock.System()
				a := b.Check(t.Context(), q)
				must.Eq(t, tc.want, codeOf(a), must.Sprint(a.GetReason()))
				must.LessEq(t, tc.within, clock.System()-start)
				must.NoError(t, b.Close(t.Context()))
				must.Eq(t, tc.ran, b.runs("1"))
				must.Eq(t, q.GetRequestId(), a.GetRequestId())
				if tc.want == coder.OK {
					must.Eq(t, "checked: "+string(q.GetPayload()), string(a.GetPayload()))
				}
			})
		})
	}
}

// A request repeated while it is in flight, or after it was answered, must not run again
// and must get the same answer. A different request with the same id must be refused within
// the team, and must run for another team.
func TestDuplicateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 2, 8, fixedTime(10), declarer.RequestLimits{})
		var w sync.WaitGroup
		for range 5 {
			w.Go(func() { must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("1", 1000)))) })
		}
		w.Wait()
		must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("1", 1000))))
		must.Eq(t, 1, b.runs("1"))
		other := request("1", 1000)
		other.Payload = []byte("another")
		must.Eq(t, coder.KeyTaken, codeOf(b.Check(t.Context(), other)))
		other.Team = "u"
		must.Eq(t, "checked: another", string(b.Check(t.Context(), other).GetPayload()))
		must.NoError(t, b.Close(t.Context()))
	})
}

// A caller that cancels must not cancel the request for other callers of the same request.
// When the last caller cancels, the request is cancelled.
func TestCancelledCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 2, 8, fixedTime(100), declarer.RequestLimits{})
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
		must.Eq(t, 1, b.runs("1"))
		must.Eq(t, coder.OK, codeOf(b.Check(t.Context(), request("2", 1000))))
		must.NoError(t, b.Close(t.Context()))
	})
}

// Close waits for requests in flight and queued ones, and refuses new ones.
func TestCloseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 1, 1, fixedTime(100), declarer.RequestLimits{})
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
		must.Eq(t, 0, b.runs("late"))
	})
}

// If the context of Close ends before the requests do, Close answers them and returns
// their number.
func TestCloseDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 1, 1, fixedTime(10_000), declarer.RequestLimits{})
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

// A leaving executor must get no new requests once its response or the platform's list
// reports it, and must finish those in flight.
func TestLeavingExecutor(t *testing.T) {
	tests := map[string]func(b *harness){
		"announced in a response": func(b *harness) {
			b.executors[0].SetLeaving(true)
			for i := range 40 {
				b.Check(context.Background(), request(fmt.Sprint("notice", i), 1000))
			}
		},
		"listed by the platform": func(b *harness) {
			b.hosts[0].Leaving = true
			b.updateView(declarer.RequestLimits{})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, 2, 8, fixedTime(10), declarer.RequestLimits{})
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

// A request that can't be answered before its deadline must be refused at once with a retry
// time, and must not run.
func TestOverloadRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 1, 1, fixedTime(100), declarer.RequestLimits{Queue: 1000})
		b.warmUp(t, 400)
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
				must.Eq(t, 0, b.runs(id))
			})
		}
		w.Wait()
		must.Eq(t, 10, answered)
		must.Eq(t, 40, refused)
		must.NoError(t, b.Close(t.Context()))
	})
}

// Requests beyond the declared limits of a service are refused.
func TestDeclaredLimits(t *testing.T) {
	tests := map[string]struct {
		limits   declarer.RequestLimits
		requests int
		answered int
	}{
		// Two run and one is queued.
		"concurrent": {limits: declarer.RequestLimits{Concurrent: 2, Queue: 1}, requests: 10, answered: 3},
		// Eight take the slots of the executor and four are queued.
		"queue": {limits: declarer.RequestLimits{Queue: 4}, requests: 20, answered: 12},
		// One is admitted at once and one by the burst, which is as long as the interval of
		// 100 ms between requests; one is queued.
		"rate": {limits: declarer.RequestLimits{PerSecond: 10, Queue: 1}, requests: 10, answered: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, 1, 8, fixedTime(200), tc.limits)
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

func TestNewWithoutExecutors(t *testing.T) {
	_, err := New()
	must.Eq(t, coder.Missing, coder.Of(errors.Cause(err)))
}
