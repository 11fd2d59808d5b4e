package scheduler

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// silentWorker returns a scheduler with a run on worker w0, whose silence began half of a lease
// ago and is stored, and all records.
func silentWorker(t *testing.T) (*harness, map[string][]byte) {
	t.Helper()
	b := newHarness(1)
	b.SetRelay(clock.NewRelay(b.clock.Now, 5000, b.clock.Now()))
	b.submit(t, "job", Step{Count: 1, CPU: 100, LongRunning: true})
	stored := map[string][]byte{}
	b.Place()
	o := b.storeInto(stored)
	b.OrderAnswered(o[0], Done)
	b.report("w0", activeRuns(o...))
	_, ok := b.Lease("w0", 1)
	must.True(t, ok)
	b.CallFailed("w0", 1, false)
	b.clock.Advance(defaultLease / 2)
	b.Sweep()
	b.storeInto(stored)
	must.MapContainsKey(t, stored, silencePrefix+"w0")
	return b, stored
}

// storeInto stores the changes since the last call in a map, and returns the orders.
func (b *harness) storeInto(stored map[string][]byte) []Order {
	batch := b.TakeBatch()
	if batch == nil {
		return nil
	}
	for _, r := range batch.Records {
		if r.Value == nil {
			delete(stored, r.Key)
		} else {
			stored[r.Key] = r.Value
		}
	}
	return b.storeBatch(batch)
}

// successor returns a scheduler that takes over from b after a gap.
func successor(t *testing.T, b *harness, stored map[string][]byte, gap clock.Millis, registry ...WorkerInfo) *harness {
	t.Helper()
	reading := b.relay.Now()
	n := newHarness(0)
	n.clock.Advance(clock.Hour)
	n.SetRelay(clock.NewRelay(n.clock.Now, reading, n.clock.Now()))
	n.clock.Advance(gap)
	for _, i := range registry {
		n.UpdateWorker(i)
	}
	until := LeaseBound(n.clock.Now(), defaultLease) + 5*clock.Second
	n.Inherit(until)
	for _, prefix := range []string{chunkPrefix, jobPrefix, silencePrefix} {
		for k, v := range stored {
			if strings.HasPrefix(k, prefix) {
				must.NoError(t, n.Load(k, v, until))
			}
		}
	}
	return n
}

// TestTakeoverWaitsForRestOfRecordedLease guards against a takeover that begins the wait for a lease anew.
func TestTakeoverWaitsForRestOfRecordedLease(t *testing.T) {
	tests := map[string]struct {
		registry []WorkerInfo
		// born is the start time of the process that the second leader polls in vain.
		born int64
		// takeovers is how often the leader changes, each time after a quarter of a lease.
		takeovers int
		want      clock.Millis
	}{
		"registered":                   {registry: []WorkerInfo{testWorker(0)}, born: 1, takeovers: 1, want: LeaseBound(0, defaultLease) - defaultLease/2},
		"left the registry":            {takeovers: 1, want: LeaseBound(0, defaultLease) - defaultLease/2},
		"two takeovers":                {registry: []WorkerInfo{testWorker(0)}, born: 1, takeovers: 2, want: LeaseBound(0, defaultLease) - 3*defaultLease/4},
		"restarted since":              {registry: registryOf(2)[:1], born: 2, takeovers: 1, want: LeaseBound(0, defaultLease) + 5*clock.Second},
		"left the registry, two terms": {takeovers: 2, want: LeaseBound(0, defaultLease) - 3*defaultLease/4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, stored := silentWorker(t)
			for i := range tc.takeovers {
				if i > 0 {
					b.clock.Advance(defaultLease / 4)
				}
				b = successor(t, b, stored, 0, tc.registry...)
			}
			b.CallFailed("w0", tc.born, false)
			b.clock.Advance(tc.want - 1)
			b.Sweep()
			must.Eq(t, 1, len(b.workers["w0"].tasks), must.Sprint("the run was given up before its lease was over"))
			b.clock.Advance(1)
			b.Sweep()
			must.Eq(t, 0, len(b.workers["w0"].tasks), must.Sprint("the run was not given up"))
		})
	}
}

// TestRecordedSilenceBlocksLease guards against a lease that the next leader does not know of.
func TestRecordedSilenceBlocksLease(t *testing.T) {
	tests := map[string]struct {
		// hear makes the worker heard again.
		hear func(b *harness)
		// takeover is whether another leader hears it.
		takeover bool
	}{
		"report":               {hear: func(b *harness) { b.report("w0", nil) }},
		"answered order":       {hear: func(b *harness) { b.OrderAnswered(Order{Kind: Stop, Worker: "w0", Born: 1}, Done) }},
		"report to the next":   {hear: func(b *harness) { b.report("w0", nil) }, takeover: true},
		"heard, silent, heard": {hear: func(b *harness) { b.report("w0", nil); b.CallFailed("w0", 1, false); b.report("w0", nil) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, stored := silentWorker(t)
			if tc.takeover {
				b = successor(t, b, stored, 100, testWorker(0))
			}
			tc.hear(b)
			_, ok := b.Lease("w0", 1)
			must.False(t, ok, must.Sprint("the lease is extended while a stored record says that it is not"))
			q, _ := b.Session("w0", 1)
			must.True(t, q.Blocked)
			batch := b.TakeBatch()
			must.NotNil(t, batch)
			must.SliceContains(t, batch.Heard, "w0")
			_, ok = b.Lease("w0", 1)
			must.False(t, ok, must.Sprint("the lease is extended before the record is deleted"))
			b.storeBatch(batch)
			_, ok = b.Lease("w0", 1)
			must.True(t, ok)
		})
	}
}

// TestSilenceEndsWithItsRuns guards against records that pile up, and against a blocked worker.
func TestSilenceEndsWithItsRuns(t *testing.T) {
	tests := map[string]func(b *harness){
		"lease expired":    func(b *harness) { b.clock.Advance(2 * defaultLease) },
		"process replaced": func(b *harness) { b.UpdateWorker(registryOf(2)[0]) },
		"worker gone":      func(b *harness) { b.WorkerReplaced("w0", testWorker(0).Address, 1, 0) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			b, stored := silentWorker(t)
			end(b)
			b.Sweep()
			b.storeInto(stored)
			must.MapNotContainsKey(t, stored, silencePrefix+"w0")
			must.MapEmpty(t, b.silences)
		})
	}
}

// TestOneLostAnswerRecordsNoSilence guards against a record, and a delayed lease, for each lost answer.
func TestOneLostAnswerRecordsNoSilence(t *testing.T) {
	b := newHarness(1)
	b.SetRelay(clock.NewRelay(b.clock.Now, 5000, b.clock.Now()))
	b.submit(t, "job", Step{Count: 1, CPU: 100})
	b.OrderAnswered(b.placeAndStore()[0], Done)
	b.storeBatch(b.TakeBatch())
	b.CallFailed("w0", 1, false)
	b.clock.Advance(silenceDelay - 1)
	b.Sweep()
	must.Nil(t, b.TakeBatch())
}

// TestGapBetweenLeadersIsNotCounted guards against a lease that counts as over too early: what passes
// unseen between two leaders must lengthen the wait.
func TestGapBetweenLeadersIsNotCounted(t *testing.T) {
	b, stored := silentWorker(t)
	n := successor(t, b, stored, 0, testWorker(0))
	late := successor(t, b, stored, 300, testWorker(0))
	must.Eq(t, n.workers["w0"].leaseBound(), late.workers["w0"].leaseBound())
}
