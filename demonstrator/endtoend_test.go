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

const testTimeout = 2 * time.Minute

// testDeployment is a Deployment with helpers that fail the test on errors.
type testDeployment struct {
	*Deployment
	t   *testing.T
	ctx context.Context
}

// startDeployment starts a deployment with the declarations of a customer and closes it at
// the end of the test. If GALENAWHARF_TEST_LOGS is set, it is the file to which the
// daemons' log is written.
func startDeployment(t *testing.T, customer, service string, change func(*Config)) *testDeployment {
	t.Parallel()
	data, err := declarations.ReadFile("declarations/" + customer + ".json")
	must.NoError(t, err)
	items, faults := declarer.ParseFile(data)
	must.NoError(t, faults.Err())
	s := Config{DataCentres: dataCentres(items), Daemons: []int{2, 1}, Workers: 4, Executors: 2, Capacity: workerCapacity, Service: service}
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	sc := &testDeployment{Deployment: d, t: t, ctx: ctx}
	sc.apply(items)
	return sc
}

// adjustableClock returns a clock that starts at start and advances with real time, and
// a function that sets it to a later time.
func adjustableClock(start clock.Millis) (now func() clock.Millis, setTime func(to clock.Millis)) {
	steady := clock.NewSteady()
	var offset atomic.Int64
	offset.Store(int64(start - steady()))
	now = func() clock.Millis { return steady() + clock.Millis(offset.Load()) }
	return now, func(to clock.Millis) { offset.Store(int64(to - steady())) }
}

// apply applies the declarations and waits until every daemon has them and is ready.
func (s *testDeployment) apply(items []declarer.Item) {
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

func (s *testDeployment) eventually(done func() bool) {
	s.t.Helper()
	must.NoError(s.t, waitUntil(s.ctx, done))
}

func (s *testDeployment) submit(n int, key, team, job string) *schema.Answer {
	s.t.Helper()
	r, err := s.Callers(n).Submit(s.ctx, connect.NewRequest(&schema.SubmitRequest{Key: key, Team: team, Job: job, Payload: []byte(key)}))
	must.NoError(s.t, err)
	return r.Msg
}

// await waits until the job that was submitted with a key has ended, and returns its
// answer.
func (s *testDeployment) await(n int, key string) *schema.Answer {
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

// inFlight returns the number of requests in flight, as a daemon's status page has it.
func (s *testDeployment) inFlight(n int) int64 {
	resp, err := http.Get("http://" + s.StatusAddress(n) + "/status")
	must.NoError(s.t, err)
	var status daemon.Status
	must.NoError(s.t, json.NewDecoder(resp.Body).Decode(&status))
	must.NoError(s.t, resp.Body.Close())
	return status.InFlight
}

// startCount returns the number of times a task was started on any worker.
func (s *testDeployment) startCount(task string) int {
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

func (s *testDeployment) requireNoOvercommit() {
	for _, w := range s.Workers() {
		must.Eq(s.t, 0, w.Overcommits(), must.Sprint(w.Name()))
	}
}

// TestEachKindOfWorkIsRunAndBilled runs a check, an idempotent and a non-idempotent batch
// job and a watch job, and checks the answers, the forecast of the cost and the audit trail.
func TestEachKindOfWorkIsRunAndBilled(t *testing.T) {
	const hourEnd = 450_000 * clock.Hour
	now, setTime := adjustableClock(hourEnd - 30*clock.Minute)
	s := startDeployment(t, "sorica", "scheduling", func(sh *Config) {
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
	must.Eq(t, 1, s.startCount("invoice-1"))
	s.eventually(func() bool {
		g, err := s.Operators(0).Get(s.ctx, connect.NewRequest(&schema.GetRequest{Kind: "watch-job", Name: "watch-stock"}))
		return err == nil && len(g.Msg.GetItems()) == 1
	})

	setTime(hourEnd - clock.Second)
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
	s.requireNoOvercommit()
}

// TestLogDown checks that, while the log is down, checks are answered and submissions are
// refused with the code NotRun and their jobs never run. Once the log is up again,
// submissions are accepted.
func TestLogDown(t *testing.T) {
	s := startDeployment(t, "sorica", "scheduling", nil)
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
	must.Eq(t, 0, s.startCount("invoice-2"))
	must.Eq(t, 1, s.startCount("invoice-1"))
	must.Eq(t, 1, s.startCount("invoice-3"))
}

// TestOwnerKilled kills the daemon that owns the shard while a job is pending. Another
// daemon must take the shard over and finish the job. Jobs must still run after the first
// daemon was started again.
func TestOwnerKilled(t *testing.T) {
	s := startDeployment(t, "crossguard", "fault-reporting", nil)
	s.submit(2, "review-1", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(2, "review-1").GetResultCode())
	s.submit(2, "review-2", "planning", "fault-review")
	s.Daemon(0).Kill()
	s.RemoveDaemon(0)
	must.Eq(t, int32(coder.OK), s.await(2, "review-2").GetResultCode())
	must.NoError(t, s.StartDaemon(0))
	s.eventually(func() bool {
		return s.submit(0, "review-3", "planning", "fault-review").GetResultCode() != int32(coder.NotReady)
	})
	s.submit(0, "review-3", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(0, "review-3").GetResultCode())
	s.requireNoOvercommit()
}

// TestSameKeyFromEveryHost submits a job with the same key at every entry host at once,
// while responses to appends to the log are lost. The job must run once, and every host
// must return its answer.
func TestSameKeyFromEveryHost(t *testing.T) {
	s := startDeployment(t, "sorica", "scheduling", nil)
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
	must.Eq(t, 1, s.startCount("invoice-1"))
}

// TestShutdownMidRequest shuts a daemon down while a check is in flight. The daemon must
// answer the check, and a job that is submitted at another daemon afterwards must run.
func TestShutdownMidRequest(t *testing.T) {
	s := startDeployment(t, "crossguard", "fault-reporting", nil)
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
	s.RemoveDaemon(0)
	a := <-answers
	must.NotNil(t, a)
	must.True(t, bytes.Equal([]byte("checked: x"), a.GetPayload()))
	s.submit(1, "review-1", "planning", "fault-review")
	must.Eq(t, int32(coder.OK), s.await(1, "review-1").GetResultCode())
}

// TestShutdownMidWait shuts a daemon down while a caller waits for a submitted job. The
// caller must get an answer, another daemon must return the result, and the job must run
// once.
func TestShutdownMidWait(t *testing.T) {
	s := startDeployment(t, "sorica", "scheduling", nil)
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
	s.RemoveDaemon(0)
	a := <-answers
	must.NotNil(t, a)
	must.Eq(t, int32(coder.OK), s.await(1, "invoice-1").GetResultCode())
	must.Eq(t, 1, s.startCount("invoice-1"))
}

// TestDrainDataCentre checks that no task runs in a drained data centre, that its service
// replicas and watch jobs move to the other data centre, and that the drained data centre
// gets tasks again once it is restored.
func TestDrainDataCentre(t *testing.T) {
	s := startDeployment(t, "crossguard", "fault-reporting", nil)
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
	s.requireNoOvercommit()
}

// TestCalendarRunsOnce checks that a run that is due by a job's calendar, which is in the
// operator's time zone, is submitted with a key of its own and starts once.
func TestCalendarRunsOnce(t *testing.T) {
	hour := clock.FromTime(time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))
	now, setTime := adjustableClock(hour - 30*clock.Minute)
	s := startDeployment(t, "sorica", "scheduling", func(sh *Config) { sh.Clock = now })
	// Runs that were due before the job was declared are skipped, so the clock reaches
	// the hour only after the declarations are applied.
	setTime(hour - clock.Second)
	const key = "monthly-invoice@2027-01-01t01"
	s.eventually(func() bool { return s.startCount(key) > 0 })
	a := s.await(0, "monthly-invoice@2026-12-01t01")
	must.Eq(t, int32(coder.NotFound), a.GetResultCode())
	s.submit(1, "roster-1", "rosters", "roster")
	must.Eq(t, int32(coder.OK), s.await(1, "roster-1").GetResultCode())
	must.Eq(t, 1, s.startCount(key))
}

// TestMultiTaskJob checks that a job that is submitted twice with the same key runs each of
// its tasks once, and that its answer contains the answers of all tasks.
func TestMultiTaskJob(t *testing.T) {
	s := startDeployment(t, "sorica", "scheduling", nil)
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
		must.Eq(t, 1, s.startCount(task))
	}
	_, err := s.Operators(1).Cancel(s.ctx, connect.NewRequest(&schema.CancelRequest{Operator: "ana", Key: "labels-1"}))
	must.NoError(t, err)
}
