package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/daemon"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/schema"
)

// patience is how long a test waits for what must come in the end.
const patience = 2 * time.Minute

type scene struct {
	*Deployment
	t   *testing.T
	ctx context.Context
}

// stage starts a deployment of a user's declarations, and ends it with the test.
func stage(t *testing.T, user, service string, change func(*Shape)) *scene {
	t.Parallel()
	data, err := declarations.ReadFile("declarations/" + user + ".json")
	must.NoError(t, err)
	items, faults := declarer.ParseFile(data)
	must.NoError(t, faults.Err())
	s := Shape{DataCentres: dataCentres(items), Daemons: []int{2, 1}, Workers: 4, Executors: 2, Capacity: demoCapacity, Service: service}
	if change != nil {
		change(&s)
	}
	output := io.Discard
	if f := os.Getenv("GALENAWHARF_TEST_LOGS"); f != "" {
		file, err := os.Create(f)
		must.NoError(t, err)
		output = file
	}
	d, err := Start(s, output)
	must.NoError(t, err)
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	sc := &scene{Deployment: d, t: t, ctx: ctx}
	sc.apply(items)
	return sc
}

// adjustableClock gives a clock that runs on from start, and the function that
// puts it forward to a later time.
func adjustableClock(start clock.Millis) (now func() clock.Millis, putForward func(to clock.Millis)) {
	steady := clock.NewSteady()
	var offset atomic.Int64
	offset.Store(int64(start - steady()))
	now = func() clock.Millis { return steady() + clock.Millis(offset.Load()) }
	return now, func(to clock.Millis) { offset.Store(int64(to - steady())) }
}

func (s *scene) apply(items []declarer.Item) {
	change := declarer.ChangeOf("ana", declarer.Plan(nil, items, false))
	s.eventually(func() bool {
		r, err := s.Operators(0).Apply(s.ctx, connect.NewRequest(&schema.ApplyRequest{Operator: "ana", Items: change.GetItems()}))
		return err == nil && r.Msg.GetResultCode() == 0
	})
	for n := range s.settings {
		s.eventually(func() bool {
			r, err := s.Operators(n).Get(s.ctx, connect.NewRequest(&schema.GetRequest{}))
			return err == nil && len(r.Msg.GetItems()) == len(items)
		})
		s.eventually(func() bool { return s.Ready(n) })
	}
}

func (s *scene) eventually(done func() bool) {
	s.t.Helper()
	must.NoError(s.t, until(s.ctx, done))
}

func (s *scene) submit(n int, key, team, job string) *schema.Answer {
	s.t.Helper()
	r, err := s.Callers(n).Submit(s.ctx, connect.NewRequest(&schema.SubmitRequest{Key: key, Team: team, Job: job, Payload: []byte(key)}))
	must.NoError(s.t, err)
	return r.Msg
}

func (s *scene) await(n int, key string) *schema.Answer {
	s.t.Helper()
	var a *schema.Answer
	s.eventually(func() bool {
		r, err := s.Callers(n).Await(s.ctx, connect.NewRequest(&schema.AwaitRequest{Key: key, WaitMillis: 2000}))
		must.NoError(s.t, err)
		a = r.Msg
		return coder.Code(a.GetResultCode()) != coder.Pending
	})
	return a
}

// inFlight gives the requests in flight by a daemon's status page.
func (s *scene) inFlight(n int) int64 {
	resp, err := http.Get("http://" + s.StatusAddress(n) + "/status")
	must.NoError(s.t, err)
	var status daemon.Status
	must.NoError(s.t, json.NewDecoder(resp.Body).Decode(&status))
	must.NoError(s.t, resp.Body.Close())
	return status.InFlight
}

// starts gives how often runs of a task began.
func (s *scene) starts(task string) int {
	n := 0
	for _, w := range s.Workers() {
		for _, i := range w.Starts() {
			if i.Task == task {
				n++
			}
		}
	}
	return n
}

func (s *scene) neverOvercommitted() {
	for _, w := range s.Workers() {
		must.Eq(s.t, 0, w.Overcommits(), must.Sprint(w.Name()))
	}
}

// TestEachKindOfWork: a check, a review, an invoice and a watch job are run,
// answered, billed and audited.
func TestEachKindOfWork(t *testing.T) {
	const hourEnd = 450_000 * clock.Hour
	now, putForward := adjustableClock(hourEnd - 30*clock.Minute)
	s := stage(t, "sorica", "scheduling", func(sh *Shape) {
		sh.Clock = now
		sh.BillGrace = clock.Second
	})
	c, err := s.Callers(2).Check(s.ctx, connect.NewRequest(&schema.CheckRequest{RequestId: "c1", Team: "rosters", Service: "scheduling", Payload: []byte("clinic")}))
	must.NoError(t, err)
	must.Eq(t, int32(coder.OK), c.Msg.GetResultCode())
	must.Eq(t, "checked: clinic", string(c.Msg.GetPayload()))

	s.submit(1, "roster-1", "rosters", "roster")
	s.submit(0, "invoice-1", "billing", "invoice")
	must.Eq(t, "done: roster-1", string(s.await(2, "roster-1").GetPayload()))
	a := s.await(1, "invoice-1")
	must.Eq(t, "done: invoice-1", string(a.GetPayload()))
	must.Eq(t, imitator.DigestOf(a.GetPayload()), a.GetDigest())
	must.Eq(t, 1, s.starts("invoice-1"))
	s.eventually(func() bool {
		g, err := s.Operators(0).Get(s.ctx, connect.NewRequest(&schema.GetRequest{Kind: "watch-job", Name: "watch-stock"}))
		return err == nil && len(g.Msg.GetItems()) == 1
	})

	putForward(hourEnd - clock.Second)
	s.eventually(func() bool {
		f, err := s.Operators(2).Forecast(s.ctx, connect.NewRequest(&schema.ForecastRequest{Month: now().Time().Format("2006-01"), By: "work"}))
		if err != nil {
			return false
		}
		billed := map[string]bool{}
		for _, l := range f.Msg.GetLines() {
			billed[l.GetName()] = true
		}
		return billed["scheduling"] && billed["invoice"] && billed["roster"] && billed["watch-stock"]
	})
	u, err := s.Operators(2).Audit(s.ctx, connect.NewRequest(&schema.AuditRequest{Limit: 100}))
	must.NoError(t, err)
	must.True(t, slices.ContainsFunc(u.Msg.GetEntries(), func(e *schema.AuditEntry) bool {
		return e.GetName() == "invoice" && e.GetOperator() == "ana" && strings.Contains(e.GetTo(), `"idempotent":false`)
	}))
	s.neverOvercommitted()
}

// TestLogDown: with the log down checks are answered, submissions are refused
// as not run and were not run; afterwards work goes on.
func TestLogDown(t *testing.T) {
	s := stage(t, "sorica", "scheduling", nil)
	s.submit(0, "invoice-1", "billing", "invoice")
	s.await(0, "invoice-1")
	s.Log().SetFaults(imitator.LogFaults{Down: true})
	a := s.submit(1, "invoice-2", "billing", "invoice")
	must.Eq(t, int32(coder.NotRun), a.GetResultCode())
	must.Positive(t, a.GetRetryAfterMillis())
	c, err := s.Callers(1).Check(s.ctx, connect.NewRequest(&schema.CheckRequest{RequestId: "c1", Team: "rosters", Service: "scheduling"}))
	must.NoError(t, err)
	must.Eq(t, int32(coder.OK), c.Msg.GetResultCode())
	_, err = s.Operators(1).Drain(s.ctx, connect.NewRequest(&schema.DrainRequest{Operator: "ana", Kind: "data-centre", Name: "ptuj"}))
	must.Error(t, err)
	s.Log().SetFaults(imitator.LogFaults{})
	s.eventually(func() bool {
		return s.submit(2, "invoice-3", "billing", "invoice").GetResultCode() != int32(coder.NotRun)
	})
	must.Eq(t, int32(coder.OK), s.await(2, "invoice-3").GetResultCode())
	must.Eq(t, 0, s.starts("invoice-2"))
	must.Eq(t, 1, s.starts("invoice-1"))
	must.Eq(t, 1, s.starts("invoice-3"))
}

// TestOwnerKilled: the loss of the daemon that owns the shard loses no work and
// doubles none.
func TestOwnerKilled(t *testing.T) {
	s := stage(t, "crossguard", "fault-reporting", nil)
	s.submit(2, "review-1", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(2, "review-1").GetResultCode())
	s.submit(2, "review-2", "planning", "fault-review")
	s.Daemon(0).Kill()
	s.Forget(0)
	must.Eq(t, int32(coder.OK), s.await(2, "review-2").GetResultCode())
	must.NoError(t, s.StartDaemon(0))
	s.eventually(func() bool {
		return s.submit(0, "review-3", "planning", "fault-review").GetResultCode() != int32(coder.NotReady)
	})
	s.submit(0, "review-3", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(0, "review-3").GetResultCode())
	s.neverOvercommitted()
}

// TestSameKeyFromEveryHost: one key is submitted at every entry host at once,
// with answers of the log lost; it runs once and all are told its answer.
func TestSameKeyFromEveryHost(t *testing.T) {
	s := stage(t, "sorica", "scheduling", nil)
	s.Log().SetFaults(imitator.LogFaults{LoseAnswers: 2})
	answers := make(chan *schema.Answer, 3)
	for n := range 3 {
		go func() {
			r, err := s.Callers(n).Submit(s.ctx, connect.NewRequest(&schema.SubmitRequest{Key: "invoice-1", Team: "billing", Job: "invoice"}))
			if err != nil {
				answers <- nil
				return
			}
			answers <- r.Msg
		}()
	}
	for range 3 {
		must.NotNil(t, <-answers)
	}
	for n := range 3 {
		must.Eq(t, int32(coder.OK), s.await(n, "invoice-1").GetResultCode())
	}
	must.Eq(t, 1, s.starts("invoice-1"))
}

// TestShutdownMidRequest: a daemon that is told to stop answers the check in
// flight, and its shards go to the other daemon without waiting for a lapse.
func TestShutdownMidRequest(t *testing.T) {
	s := stage(t, "crossguard", "fault-reporting", nil)
	for _, e := range s.Executors() {
		e.SetFaults(imitator.ExecutorFaults{Slower: 300})
	}
	answers := make(chan *schema.Answer, 1)
	go func() {
		r, err := s.Callers(0).Check(s.ctx, connect.NewRequest(&schema.CheckRequest{RequestId: "c1", Team: "trackside", Service: "fault-reporting", Payload: []byte("x"), TimeoutMillis: 20_000}))
		if err != nil {
			answers <- nil
			return
		}
		answers <- r.Msg
	}()
	s.eventually(func() bool {
		for _, e := range s.Executors() {
			if e.Ran("trackside/c1") > 0 {
				return true
			}
		}
		return false
	})
	must.NoError(t, s.Daemon(0).Shutdown())
	s.Forget(0)
	a := <-answers
	must.NotNil(t, a)
	must.True(t, bytes.Equal([]byte("checked: x"), a.GetPayload()))
	s.submit(1, "review-1", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(1, "review-1").GetResultCode())
}

// TestShutdownMidWait: a caller that waits for work is told at once that it is
// pending when the daemon is told to stop, and has its answer from another.
func TestShutdownMidWait(t *testing.T) {
	s := stage(t, "sorica", "scheduling", nil)
	s.submit(0, "invoice-1", "billing", "invoice")
	answers := make(chan *schema.Answer, 1)
	go func() {
		r, err := s.Callers(0).Await(s.ctx, connect.NewRequest(&schema.AwaitRequest{Key: "invoice-1", WaitMillis: 30_000}))
		if err != nil {
			answers <- nil
			return
		}
		answers <- r.Msg
	}()
	s.eventually(func() bool { return s.inFlight(0) > 0 })
	must.NoError(t, s.Daemon(0).Shutdown())
	s.Forget(0)
	a := <-answers
	must.NotNil(t, a)
	must.Eq(t, int32(coder.OK), s.await(1, "invoice-1").GetResultCode())
	must.Eq(t, 1, s.starts("invoice-1"))
}

// TestDataCentreTakenOut: nothing starts in a data centre that is out, and its
// standing work runs elsewhere.
func TestDataCentreTakenOut(t *testing.T) {
	s := stage(t, "crossguard", "fault-reporting", nil)
	s.eventually(func() bool { return s.Running("point-fortin")+s.Running("san-fernando") >= 5 })
	r, err := s.Operators(1).Drain(s.ctx, connect.NewRequest(&schema.DrainRequest{Operator: "ana", Kind: "data-centre", Name: "point-fortin"}))
	must.NoError(t, err)
	must.Len(t, 2, r.Msg.GetViews())
	s.eventually(func() bool { return s.Running("point-fortin") == 0 && s.Running("san-fernando") >= 5 })
	s.submit(2, "review-1", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(2, "review-1").GetResultCode())
	must.Eq(t, 0, s.Running("point-fortin"))
	_, err = s.Operators(0).Drain(s.ctx, connect.NewRequest(&schema.DrainRequest{Operator: "ana", Kind: "data-centre", Name: "point-fortin", Restore: true}))
	must.NoError(t, err)
	s.eventually(func() bool { return s.Running("point-fortin") > 0 })
	s.neverOvercommitted()
}

// TestCalendarRunsOnce: when the hour of a job's calendar comes, in the
// operator's time zone, its run is submitted under its key and starts once.
func TestCalendarRunsOnce(t *testing.T) {
	hour := clock.FromTime(time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))
	now, putForward := adjustableClock(hour - 30*clock.Minute)
	s := stage(t, "sorica", "scheduling", func(sh *Shape) { sh.Clock = now })
	// Runs due before the declaration are not made up for, so the hour comes
	// only once it is in force.
	putForward(hour - clock.Second)
	const key = "monthly-invoice@2027-01-01t01"
	s.eventually(func() bool { return s.starts(key) > 0 })
	a := s.await(0, "monthly-invoice@2026-12-01t01")
	must.Eq(t, int32(coder.NotFound), a.GetResultCode())
	s.submit(1, "roster-1", "rosters", "roster")
	must.Eq(t, int32(coder.OK), s.await(1, "roster-1").GetResultCode())
	must.Eq(t, 1, s.starts(key))
}

// TestJobOfSeveralTasks: one submission runs every task of its job once, and
// its answer has all of theirs.
func TestJobOfSeveralTasks(t *testing.T) {
	s := stage(t, "sorica", "scheduling", nil)
	size := `{"processors":1,"memory":"1GiB"}`
	document := `{"name":"labels","team":"billing","tasks":3,"size":` + size + `,"run-time":"1s","idempotent":true}`
	item, faults := declarer.ParseItem(declarer.KindBatchJob, "labels", []byte(document), "labels")
	must.NoError(t, faults.Err())
	s.eventually(func() bool {
		change := declarer.ChangeOf("ana", declarer.Plan(nil, []declarer.Item{item}, false))
		r, err := s.Operators(1).Apply(s.ctx, connect.NewRequest(&schema.ApplyRequest{Operator: "ana", Items: change.GetItems()}))
		return err == nil && r.Msg.GetResultCode() == 0
	})
	s.submit(1, "labels-1", "billing", "labels")
	s.submit(1, "labels-1", "billing", "labels")
	a := s.await(2, "labels-1")
	must.Eq(t, int32(coder.OK), a.GetResultCode())
	must.Eq(t, 3, strings.Count(string(a.GetPayload()), "done: labels-1"))
	for _, task := range []string{"labels-1.0", "labels-1.1", "labels-1.2"} {
		must.Eq(t, 1, s.starts(task))
	}
	_, err := s.Operators(1).Cancel(s.ctx, connect.NewRequest(&schema.CancelRequest{Operator: "ana", Key: "labels-1"}))
	must.NoError(t, err)
}
