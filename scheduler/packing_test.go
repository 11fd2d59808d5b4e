package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// mixFleet is a busyFleet of large workers on which long-running tasks leave little room, and that
// records how long small and large tasks wait.
type mixFleet struct {
	*busyFleet
	random    *rand.Rand
	submitted map[string]clock.Millis
	// waits are those of the tasks that have started, by the first letter of their jobs.
	waits map[byte][]clock.Millis
}

// newMixFleet returns workers of 64 processors with long-running tasks.
func newMixFleet(tb testing.TB, workers, lasting int, lastingCPU int64) *mixFleet {
	tb.Helper()
	m := &mixFleet{random: rand.New(rand.NewPCG(1, 2)), submitted: map[string]clock.Millis{}, waits: map[byte][]clock.Millis{}}
	m.busyFleet = newBusyFleet(0, func(o Order) clock.Millis {
		if at, ok := m.submitted[o.Task.Job]; ok && o.Attempt == 1 {
			m.waits[o.Task.Job[0]] = append(m.waits[o.Task.Job[0]], m.clock.Now()-at)
			delete(m.submitted, o.Task.Job)
		}
		if strings.HasPrefix(o.Task.Job, "lasting") {
			return clock.Hour
		}
		return 800 + clock.Millis(o.Task.Job[len(o.Task.Job)-1]%10)*50
	})
	for i := range workers {
		w := testWorker(i)
		w.CPU, w.Memory = 64_000, 256_000
		m.UpdateWorker(w)
	}
	// A job has at most a thousand tasks here.
	for id := "lasting"; lasting > 0; id += "-" {
		n := min(lasting, 1000)
		lasting -= n
		must.NoError(tb, m.Submit(Spec{ID: id, Queue: Queue{Name: "lasting", Service: testService, MaxAttempts: 2, Slack: 2}, Steps: []Step{{Count: n, CPU: lastingCPU, Memory: 1000, LongRunning: true}}}, func(error) {}))
	}
	m.play(clock.Second)
	return m
}

// submitMix plays the fleet while small and large tasks of one job each arrive evenly.
func (m *mixFleet) submitMix(tb testing.TB, d clock.Millis, small, large int) {
	tb.Helper()
	const step = 50 * clock.Millis(1)
	for i := range int(d / step) {
		per := int(clock.Second / step)
		for n := range small*(i+1)/per - small*i/per {
			m.submitOne(tb, fmt.Sprintf("s%d-%d", m.clock.Now(), n), 4000)
		}
		for n := range large*(i+1)/per - large*i/per {
			m.submitOne(tb, fmt.Sprintf("l%d-%d", m.clock.Now(), n), int64(10_000+1000*m.random.IntN(3)))
		}
		for id := range m.workers {
			m.Lease(id, 1)
		}
		m.play(step)
	}
}

func (m *mixFleet) submitOne(tb testing.TB, id string, cpu int64) {
	tb.Helper()
	m.submitted[id] = m.clock.Now()
	must.NoError(tb, m.Submit(Spec{ID: id, Queue: Queue{Name: "short", Service: testService, MaxAttempts: 2, Slack: 2, Target: clock.Second}, Steps: []Step{{Count: 1, CPU: cpu, Memory: 500, Estimate: clock.Second}}}, func(error) {}))
}

// waitAt returns a quantile of the waits of small or large tasks; those that still wait count too.
func (m *mixFleet) waitAt(kind byte, q float64) clock.Millis {
	ws := slices.Clone(m.waits[kind])
	for id, at := range m.submitted {
		if id[0] == kind {
			ws = append(ws, m.clock.Now()-at)
		}
	}
	slices.Sort(ws)
	return ws[min(int(q*float64(len(ws))), len(ws)-1)]
}

// TestLargeTasksGetRoomAmongSmallOnes guards against large tasks that wait while small ones which came
// later keep taking the room. Load: long-running tasks hold four fifths or nine tenths of 100 workers,
// and small and large tasks of about a second arrive evenly.
func TestLargeTasksGetRoomAmongSmallOnes(t *testing.T) {
	tests := map[string]struct {
		lasting    int
		lastingCPU int64
		small      int
		limit      clock.Millis
	}{
		"some small tasks":     {lasting: 400, lastingCPU: 13_000, small: 150, limit: 500},
		"many small tasks":     {lasting: 400, lastingCPU: 13_000, small: 180, limit: 600},
		"little room left":     {lasting: 400, lastingCPU: 13_000, small: 220, limit: clock.Second},
		"nine tenths are held": {lasting: 360, lastingCPU: 16_000, small: 100, limit: clock.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMixFleet(t, 100, tt.lasting, tt.lastingCPU)
			m.submitMix(t, 20*clock.Second, tt.small, 8)
			t.Logf("99th percentile of waits: large %d ms, small %d ms", int64(m.waitAt('l', 0.99)), int64(m.waitAt('s', 0.99)))
			must.LessEq(t, tt.limit, m.waitAt('l', 0.99))
			must.LessEq(t, 55, m.waitAt('s', 0.99))
		})
	}
}

// TestFragmentationIsReported guards against large waits whose cause nobody can see: free room in pieces
// that are too small.
func TestFragmentationIsReported(t *testing.T) {
	b := newHarness(2)
	b.submit(t, "small", Step{Count: 2, CPU: 5000, Memory: 100, Estimate: clock.Minute})
	b.placeAndStore()
	must.Eq(t, RoomState{}, b.RoomState())
	b.submit(t, "large", Step{Count: 1, CPU: 5000, Memory: 100, Estimate: clock.Minute})
	b.placeAndStore()
	b.clock.Advance(roomWait)
	b.placeAndStore()
	b.placeAndStore()
	must.Eq(t, RoomState{Waiting: 1, Reserved: 1, Fragmented: sizer.New(6000, 2*15_900*sizer.MiB, 0)}, b.RoomState())
}
