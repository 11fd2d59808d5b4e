package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// outage is an outage of all daemons: a leader left clock readings of its workers, and its successor
// has seen its claim only after the outage.
type outage struct {
	// passed is the time that has passed since the start of the first leader.
	passed *clock.Manual
	// rates are those of the workers' clocks, against passed.
	rates   []float64
	former  *harness
	next    *harness
	claimed clock.Millis
}

// newOutage lets a leader run until its workers have reported, and another take over after a time.
func newOutage(t *testing.T, rates []float64, length clock.Millis) *outage {
	t.Helper()
	o := &outage{rates: rates, former: newHarness(0)}
	o.former.clock = clock.NewManual(clock.Hour)
	o.passed = o.former.clock
	now := o.passed.Now
	o.former.Scheduler = New(WithClocks(now, now))
	o.former.SetRelay(clock.NewRelay(now, 5000, now()))
	for i := range rates {
		o.former.UpdateWorker(o.worker(i))
	}
	stored := map[string][]byte{}
	o.former.submit(t, "job", Step{Count: len(rates), CPU: 8000, LongRunning: true})
	o.former.Place()
	orders := o.former.storeInto(stored)
	must.Len(t, len(rates), orders)
	for _, r := range orders {
		o.former.OrderAnswered(r, Done)
		o.report(o.former, r.Worker, 1, 20, activeRuns(r))
	}
	o.passed.Advance(300)
	rs, readAt := o.former.ClockReadings(), o.former.relay.Now()
	o.claimed = o.passed.Now()
	o.passed.Advance(length)
	o.next = &harness{clock: o.passed}
	// The next leader's own clock is another one.
	own := func() clock.Millis { return now() - 30*clock.Minute }
	o.next.Scheduler = New(WithClocks(own, now))
	o.next.SetRelay(clock.NewRelay(own, readAt, own()))
	for i := range rates {
		o.next.UpdateWorker(o.worker(i))
	}
	until := LeaseBound(own(), defaultLease) + 5*clock.Second
	o.next.Inherit(until)
	for k, v := range stored {
		must.NoError(t, o.next.Load(k, v, until))
	}
	o.next.LimitInherited(LeaseBound(readAt, defaultLease))
	o.next.ExpectClocks(readAt, rs)
	return o
}

func (o *outage) worker(i int) WorkerInfo {
	w := testWorker(i)
	w.DataCentre = fmt.Sprint("dc", i%2)
	return w
}

// report passes the report of a worker whose clock is read half way through the call.
func (o *outage) report(b *harness, worker string, born int64, call clock.Millis, active []ActiveRun) {
	var i int
	if _, err := fmt.Sscanf(worker, "w%d", &i); err != nil {
		panic(err)
	}
	sent := b.now()
	o.passed.Advance(call / 2)
	c := clock.Millis(float64(o.passed.Now()) * o.rates[i])
	o.passed.Advance(call / 2)
	b.Report(Report{Worker: worker, Born: born, Clock: c, Sent: sent, Active: active})
}

// wait returns how long the successor still waits for the lease of a worker that it has not heard.
func (o *outage) wait(worker int) clock.Millis {
	return o.next.workers[fmt.Sprint("w", worker)].leaseBound() - o.next.now()
}

// TestLeasesThatEndedInOutageAreNotWaitedFor guards against a leader that waits for leases which have
// expired while no daemon ran.
func TestLeasesThatEndedInOutageAreNotWaitedFor(t *testing.T) {
	const length = 9 * clock.Second
	right := []float64{1, 1, 1, 1, 1, 1}
	tests := map[string]struct {
		rates []float64
		// heard are the workers that answer after the outage, born is their start time.
		heard []int
		born  int64
		// counted is whether the time of the outage counts.
		counted bool
	}{
		"three of six answer":       {rates: right, heard: []int{0, 1, 2}, born: 1, counted: true},
		"five of six answer":        {rates: right, heard: []int{0, 1, 2, 3, 4}, born: 1, counted: true},
		"two answer":                {rates: right, heard: []int{0, 1}, born: 1},
		"they have restarted":       {rates: right, heard: []int{0, 1, 2, 3, 4}, born: 2},
		"two clocks are far ahead":  {rates: []float64{9, 9, 1, 1, 1, 1}, heard: []int{0, 1, 2, 3, 4}, born: 1, counted: true},
		"only these answer, one ok": {rates: []float64{9, 9, 1, 1, 1, 1}, heard: []int{0, 1, 2}, born: 1, counted: true},
		"two clocks stand still":    {rates: []float64{0.1, 0.1, 1, 1, 1, 1}, heard: []int{0, 1, 2, 3, 4}, born: 1, counted: true},
		"three of five stand still": {rates: []float64{0.1, 0.1, 0.1, 1, 1, 1}, heard: []int{0, 1, 2, 3, 4}, born: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOutage(t, tc.rates, length)
			before := o.wait(5)
			must.Greater(t, defaultLease, before)
			for _, i := range tc.heard {
				if tc.born != 1 {
					w := o.worker(i)
					w.Born = tc.born
					o.next.UpdateWorker(w)
				}
				o.report(o.next, fmt.Sprint("w", i), tc.born, 0, nil)
			}
			must.Eq(t, tc.counted, o.wait(5) < 0)
		})
	}
}

// TestOutageIsNeverMeasuredTooLong guards against a second run: whatever the clocks' rates within the
// bound and the delays of the calls, no more time may be counted than has passed.
func TestOutageIsNeverMeasuredTooLong(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var rates []float64
		for range 6 {
			rates = append(rates, 1+maxClockDrift*(2*r.Float64()-1))
		}
		o := newOutage(t, rates, clock.Millis(r.IntN(30_000)))
		for _, i := range r.Perm(5) {
			o.report(o.next, fmt.Sprint("w", i), 1, clock.Millis(2*r.IntN(1000)), nil)
			passed := o.passed.Now() - o.claimed
			must.GreaterEq(t, LeaseBound(0, defaultLease), o.wait(5)+passed, must.Sprintf("seed %d", seed))
		}
	}
}

// TestClockReadingsOfSeveralDataCentres guards against readings that a cut of one data centre takes away.
func TestClockReadingsOfSeveralDataCentres(t *testing.T) {
	o := newOutage(t, slices.Repeat([]float64{1}, 14), 0)
	rs := o.former.ClockReadings()
	must.Len(t, MaxWitnesses, rs)
	perDataCentre := map[string]int{}
	for _, r := range rs {
		perDataCentre[o.former.workers[r.Worker].info.DataCentre]++
	}
	must.Eq(t, map[string]int{"dc0": 5, "dc1": 4}, perDataCentre)
	o.passed.Advance(maxWitnessAge)
	must.SliceEmpty(t, o.former.ClockReadings(), must.Sprint("readings of reports that are too old"))
}

// TestRestartAfterTakeoverIgnoresSilence guards against a bound of the old process's lease for the new one.
func TestRestartAfterTakeoverIgnoresSilence(t *testing.T) {
	b, stored := silentWorker(t)
	n := successor(t, b, stored, 0, testWorker(0))
	n.LimitInherited(LeaseBound(b.relay.Now()+2*clock.Second, defaultLease))
	n.UpdateWorker(registryOf(2)[0])
	must.Eq(t, n.relay.Local(LeaseBound(b.relay.Now()+2*clock.Second, defaultLease)), n.workers["w0"].leaseBound())
}
