package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

func TestSearchCandidates(t *testing.T) {
	a, b, c := &worker{}, &worker{}, &worker{}
	all := []*worker{a, b, c}
	k := requirementKey{service: "s"}
	tests := map[string]struct {
		// change changes the cache after a search for size 10 has failed at 1000.
		change func(*searchCache)
		size   int64
		now    clock.Millis
		want   []*worker
	}{
		"nothing has changed":          {size: 10, now: 1050, want: []*worker{}},
		"one has changed":              {change: func(s *searchCache) { s.noteChange(b) }, size: 10, now: 1050, want: []*worker{b}},
		"a larger task":                {change: func(s *searchCache) { s.noteChange(b) }, size: 12, now: 1050, want: []*worker{b}},
		"a smaller task":               {size: 9, now: 1050, want: all},
		"a while later":                {size: 10, now: 1000 + searchInterval, want: all},
		"as many changes as there are": {change: func(s *searchCache) { s.noteChange(a); s.noteChange(b); s.noteChange(c) }, size: 10, now: 1050, want: all},
		"searched since": {change: func(s *searchCache) {
			s.noteChange(a)
			s.noteFailure(k, resourceSize{cpu: 10}, true, 1020)
			s.noteChange(c)
		}, size: 10, now: 1050, want: []*worker{c}},
		"changes were dropped": {change: func(s *searchCache) {
			for range maxChanges + 1 {
				s.noteChange(a)
			}
		}, size: 10, now: 1050, want: all},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &searchCache{}
			s.noteFailure(k, resourceSize{cpu: 10}, false, 1000)
			if tt.change != nil {
				tt.change(s)
			}
			got, _ := s.candidates(k, resourceSize{cpu: tt.size}, all, tt.now)
			must.Eq(t, len(tt.want), len(got))
			for i := range got {
				must.True(t, got[i] == tt.want[i])
			}
		})
	}
}

// TestRoomIsFoundInNextRound plays a full fleet on which tasks wait, and checks that each worker that
// gets room is used in the next round of placing.
func TestRoomIsFoundInNextRound(t *testing.T) {
	const workers, waiting = 30, 60
	c := clock.NewManual(1_000_000)
	s := New(WithClocks(c.Now, c.Now))
	for i := range workers {
		w := testWorker(i)
		w.CPU, w.Memory = 1000, 64000
		s.UpdateWorker(w)
	}
	must.NoError(t, s.Submit(Spec{ID: "a", Queue: Queue{Name: "q", Service: testService, MaxAttempts: 2}, Steps: []Step{{Count: workers + waiting, CPU: 1000, Estimate: 1000}}}, func(error) {}))
	place := func() []Order {
		s.Place()
		b := s.TakeBatch()
		if b == nil {
			return nil
		}
		s.Stored(b)
		for _, o := range b.Orders {
			s.OrderAnswered(o, Done)
		}
		return b.Orders
	}
	running := place()
	must.SliceLen(t, workers, running)
	number := map[string]int64{}
	for i := range waiting {
		c.Advance(5)
		must.SliceEmpty(t, place())
		o := running[i%len(running)]
		number[o.Worker]++
		s.Report(Report{Worker: o.Worker, Born: 1, Clock: c.Now(), Sent: c.Now(), Ended: []EndedRun{endedRun(number[o.Worker], o, EndDone)}})
		next := place()
		must.SliceLen(t, 1, next, must.Sprint(fmt.Sprint("after end ", i)))
		must.Eq(t, o.Worker, next[0].Worker)
		running[i%len(running)] = next[0]
	}
}
