package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// recordStore is a store that keeps the newest record of each key.
type recordStore struct {
	records map[string][]byte
	written int
}

func (s *recordStore) apply(b *Batch) {
	if b == nil {
		return
	}
	for _, r := range b.Records {
		s.written += len(r.Key) + len(r.Value)
		if r.Value == nil {
			delete(s.records, r.Key)
		} else {
			s.records[r.Key] = r.Value
		}
	}
}

// load returns the scheduler of a new leader.
func (s *recordStore) load(t *testing.T, now func() clock.Millis, workers int) *Scheduler {
	t.Helper()
	n := New(WithClocks(now, now))
	for i := range workers {
		n.UpdateWorker(testWorker(i))
	}
	for _, k := range slices.Sorted(maps.Keys(s.records)) {
		must.NoError(t, n.Load(k, s.records[k], now()+defaultLease))
	}
	return n
}

// summary returns what a new leader has to know of the jobs.
func summary(s *Scheduler) []string {
	var lines []string
	for id, j := range s.jobs {
		if j.phase.final() {
			lines = append(lines, fmt.Sprint(id, j.phase))
			continue
		}
		lines = append(lines, fmt.Sprint(id, j.phase, j.doneCount))
		j.eachTask(func(t *task) {
			if t.attempt > 0 {
				lines = append(lines, fmt.Sprintf("%s %+v done %d", t.name(), t.record(), t.occurrence.done[t.step]))
			}
		})
	}
	slices.Sort(lines)
	return lines
}

// TestStoredChangesRestoreJobs plays jobs whose runs end in all ways, with cancellations, repeated jobs
// and changes of the leader, and checks after each batch that what is stored restores them.
func TestStoredChangesRestoreJobs(t *testing.T) {
	const workers = 6
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			b := newHarness(workers)
			store := &recordStore{records: map[string][]byte{}}
			running, number, job := map[string]Order{}, map[string]int64{}, 0
			for range 300 {
				b.clock.Advance(clock.Millis(r.IntN(40)))
				switch r.IntN(6) {
				case 0:
					job++
					spec := Spec{ID: fmt.Sprintf("job%d", job), Queue: Queue{Name: "q", Service: testService, MaxAttempts: 3, Slack: 2}, Steps: []Step{
						{Count: 1 + r.IntN(20), CPU: 300, Checkpointing: r.IntN(2) == 0}, {Count: 1 + r.IntN(5), CPU: 500, After: []int{0}, Gang: r.IntN(3) == 0},
					}}
					if r.IntN(4) == 0 {
						spec.Repeat, spec.FirstDue, spec.Period = 2, b.clock.Now(), 200
					}
					must.NoError(t, b.Submit(spec, func(error) {}))
				case 1:
					if r.IntN(6) == 0 {
						_ = b.Cancel(fmt.Sprintf("job%d", 1+r.IntN(max(job, 1))), "", func(error) {})
					}
				default:
					for _, name := range slices.Sorted(maps.Keys(running)) {
						if r.IntN(4) > 0 {
							continue
						}
						o := running[name]
						delete(running, name)
						number[o.Worker]++
						e := endedRun(number[o.Worker], o, []Ending{EndDone, EndDone, EndDone, EndFailed, EndLapsed, EndStopped}[r.IntN(6)])
						e.Checkpoint = fmt.Sprint("c", r.IntN(9))
						var active []ActiveRun
						for _, a := range running {
							if a.Worker == o.Worker {
								active = append(active, activeRuns(a)...)
							}
						}
						b.report(o.Worker, active, e)
					}
				}
				b.Sweep()
				b.Place()
				batch := b.TakeBatch()
				store.apply(batch)
				for _, o := range b.storeBatch(batch) {
					b.OrderAnswered(o, Done)
					running[o.Task.String()] = o
				}
				b.TakeImmediateOrders()
				batch = b.TakeBatch()
				store.apply(batch)
				b.storeBatch(batch)
				if r.IntN(10) == 0 {
					must.Eq(t, summary(b.Scheduler), summary(store.load(t, b.clock.Now, workers)))
				}
			}
			must.Greater(t, 20, job)
		})
	}
}

// TestOneEndStoresLittle guards against storing a whole wide job for each of its tasks.
func TestOneEndStoresLittle(t *testing.T) {
	const tasks = 200
	b := newHarness(30)
	store := &recordStore{records: map[string][]byte{}}
	must.NoError(t, b.Submit(Spec{ID: "job", Text: strings.Repeat("x", 2000), Queue: Queue{Name: "q", Service: testService, MaxAttempts: 2}, Steps: []Step{{Count: tasks, CPU: 1000}}}, func(error) {}))
	b.Place()
	batch := b.TakeBatch()
	store.apply(batch)
	orders := b.storeBatch(batch)
	must.SliceLen(t, tasks, orders)
	for _, o := range orders {
		b.OrderAnswered(o, Done)
	}
	store.apply(b.TakeBatch())
	store.written = 0
	o := orders[17]
	b.report(o.Worker, nil, endedRun(1, o, EndDone))
	store.apply(b.TakeBatch())
	must.Positive(t, store.written)
	must.Less(t, 1500, store.written)
}

// TestOrphanedChunksAreDeleted checks that chunks of jobs which do not exist are deleted.
func TestOrphanedChunksAreDeleted(t *testing.T) {
	b := newHarness(1)
	key := chunk{0, 0, 0}.key("gone")
	must.NoError(t, b.Load(key, []byte(`{"v":3,"t":[{"a":1,"w":"w0"}]}`), 0))
	b.Sweep()
	must.Eq(t, []Record{{Key: key}}, b.TakeBatch().Records)
}
