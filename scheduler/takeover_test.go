package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// recordOfRun returns the record of a job with one run on a process of worker w0.
func recordOfRun(t *testing.T, job string, born int64) (Record, Order) {
	t.Helper()
	b := newHarness(0)
	w := testWorker(0)
	w.Born = born
	b.UpdateWorker(w)
	b.submit(t, job, Step{Count: 1, CPU: 100})
	b.Place()
	batch := b.TakeBatch()
	must.Len(t, 1, batch.Records)
	must.Len(t, 1, batch.Orders)
	return batch.Records[0], batch.Orders[0]
}

// takeOver returns the scheduler of a new leader that has loaded the records, and the end of
// the former leader's leases.
func takeOver(t *testing.T, registry []WorkerInfo, records ...Record) (*harness, clock.Millis) {
	t.Helper()
	b := newHarness(0)
	until := LeaseBound(b.clock.Now(), defaultLease) + 5*clock.Second
	for _, i := range registry {
		b.UpdateWorker(i)
	}
	b.Inherit(until)
	for _, r := range records {
		must.NoError(t, b.Load(r.Key, r.Value, until))
	}
	b.report("w1", nil)
	return b, until
}

func registryOf(born int64) []WorkerInfo {
	w := testWorker(0)
	w.Born = born
	return []WorkerInfo{w, testWorker(1)}
}

// TestTakeoverKeepsRunOfAnotherLife guards against dropping runs of an unregistered process.
func TestTakeoverKeepsRunOfAnotherLife(t *testing.T) {
	first, _ := recordOfRun(t, "first", 1)
	second, _ := recordOfRun(t, "second", 2)
	tests := map[string]struct {
		registry []WorkerInfo
		records  []Record
		// restarts is the number of tasks that start elsewhere when the leases have expired.
		restarts int
	}{
		"same process":                  {registry: registryOf(2), records: []Record{second}, restarts: 1},
		"registry lags behind":          {registry: registryOf(1), records: []Record{second}, restarts: 1},
		"registry is ahead":             {registry: registryOf(2), records: []Record{first}, restarts: 1},
		"not registered":                {registry: registryOf(0)[1:], records: []Record{second}, restarts: 1},
		"not registered, older first":   {registry: registryOf(0)[1:], records: []Record{first, second}, restarts: 2},
		"not registered, younger first": {registry: registryOf(0)[1:], records: []Record{second, first}, restarts: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, until := takeOver(t, tc.registry, tc.records...)
			must.SliceEmpty(t, b.placeAndStore(), must.Sprint("a task was started elsewhere before its worker was heard"))
			b.CallFailed("w0", 1, false)
			b.CallFailed("w0", 2, false)
			b.clock.Advance(until - b.clock.Now())
			b.Sweep()
			must.SliceLen(t, tc.restarts, b.placeAndStore())
		})
	}
}

// TestTakeoverWithStaleRegistryKeepsLiveRun guards against dropping runs newer than the registry.
func TestTakeoverWithStaleRegistryKeepsLiveRun(t *testing.T) {
	r, o := recordOfRun(t, "job", 2)
	b, _ := takeOver(t, registryOf(1), r)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere"))
	b.UpdateWorker(registryOf(2)[0])
	b.Report(Report{Worker: "w0", Born: 2, Clock: clock.Second, Sent: b.clock.Now(), Active: activeRuns(o)})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere"))
	must.SliceEmpty(t, b.TakeImmediateOrders(), must.Sprint("the live run was stopped"))
}

// TestRestartAfterTakeoverKeepsLeaseEnd guards against forgetting the former leader's leases.
func TestRestartAfterTakeoverKeepsLeaseEnd(t *testing.T) {
	r, _ := recordOfRun(t, "job", 1)
	b, until := takeOver(t, registryOf(1), r)
	b.UpdateWorker(registryOf(2)[0])
	b.CallFailed("w0", 2, false)
	b.clock.Advance(until - 1 - b.clock.Now())
	b.Sweep()
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere before the leases of the former leader were over"))
	b.clock.Advance(1)
	b.Sweep()
	must.SliceLen(t, 1, b.placeAndStore())
}

// TestAnswerAtFormerAddressKeepsWorker guards against dropping a worker that has moved.
func TestAnswerAtFormerAddressKeepsWorker(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	o := b.placeAndStore()[0]
	b.OrderAnswered(o, Done)
	b.WorkerReplaced(o.Worker, "127.0.0.1:9", o.Born, 0)
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere"))
	b.WorkerReplaced(o.Worker, o.Address, o.Born, 0)
	must.SliceLen(t, 1, b.placeAndStore())
}

// TestTakeoverDistrustsAddressOfFormerProcess guards against trusting a reused address.
func TestTakeoverDistrustsAddressOfFormerProcess(t *testing.T) {
	r, _ := recordOfRun(t, "job", 2)
	b, _ := takeOver(t, registryOf(1), r)
	b.Sessions(func(q Session) {
		if q.Worker == "w0" && q.Address != "" {
			// A poll of that address is answered by another worker.
			b.WorkerReplaced("w0", q.Address, q.Born, 0)
		}
	})
	must.SliceEmpty(t, b.placeAndStore(), must.Sprint("the task was started elsewhere before its worker was heard"))
}

// TestWorkerWithEarlierBornIsUsable guards against a lost worker: records name a later start than its entry.
func TestWorkerWithEarlierBornIsUsable(t *testing.T) {
	b := newHarness(1)
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	w := testWorker(0)
	w.Born = 9
	b.UpdateWorker(w)
	b.Place()
	batch := b.TakeBatch()
	must.Len(t, 1, batch.Orders)
	c := newHarness(0)
	c.UpdateWorker(testWorker(0))
	for _, r := range batch.Records {
		must.NoError(t, c.Load(r.Key, r.Value, c.clock.Now()+defaultLease))
	}
	for range 100 {
		c.clock.Advance(clock.Second)
		c.UpdateWorker(testWorker(0))
		c.Sweep()
	}
	must.SliceLen(t, 1, c.placeAndStore())
}

// TestTaskOfUnaddressedWorkerWaitsNoLongerThanItsLease guards against a task that waits for a process without an address.
func TestTaskOfUnaddressedWorkerWaitsNoLongerThanItsLease(t *testing.T) {
	r, _ := recordOfRun(t, "job", 2)
	b, until := takeOver(t, registryOf(1), r)
	b.clock.Advance(until - b.clock.Now() + clock.Minute)
	b.UpdateWorker(registryOf(1)[0])
	b.Sweep()
	must.SliceLen(t, 1, b.placeAndStore())
}
