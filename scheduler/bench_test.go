package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"galenawharf.example/galenawharf/clock"
)

// BenchmarkPlacementRound measures a round of placing on 490 workers that are nearly
// full, while runs end, jobs arrive and many fillers wait.
func BenchmarkPlacementRound(b *testing.B) { benchmarkRound(b, 0) }

// BenchmarkPlacementRoundOfTenants is BenchmarkPlacementRound with jobs of 280 tenants.
func BenchmarkPlacementRoundOfTenants(b *testing.B) { benchmarkRound(b, 280) }

func benchmarkRound(b *testing.B, tenants int) {
	const workers, longRunning, backlog = 490, 160, 120
	c := clock.NewManual(1_000_000)
	s := New(WithClocks(c.Now, c.Now))
	var ts []Tenant
	for i := range tenants {
		ts = append(ts, Tenant{Name: fmt.Sprint("t", i), Weight: float64(1 + i%20)})
	}
	s.SetTenants(ts)
	r := rand.New(rand.NewPCG(1, 1))
	jobs := 0
	for i := range workers {
		w := testWorker(i)
		w.CPU, w.Memory = 16000, 64000
		s.UpdateWorker(w)
	}
	submit := func(id string, q Queue, steps ...Step) {
		spec := Spec{ID: id, Queue: q, Steps: steps}
		if jobs++; tenants > 0 {
			spec.Tenant = ts[jobs%tenants].Name
		}
		if err := s.Submit(spec, func(error) {}); err != nil {
			b.Fatal(err)
		}
	}
	placeAndConfirm := func() []Order {
		s.Place()
		t := s.TakeBatch()
		if t == nil {
			return nil
		}
		s.Stored(t)
		for _, o := range t.Orders {
			s.OrderAnswered(o, Done)
		}
		return t.Orders
	}
	for i := range longRunning {
		submit(fmt.Sprint("l", i), Queue{Name: "l", Service: testService}, Step{Count: 14, CPU: 3200, Memory: 6000, LongRunning: true, Objective: 45, Image: fmt.Sprint("s", i%10)})
	}
	placeAndConfirm()
	job := 0
	submitFiller := func() {
		job++
		submit(fmt.Sprint("f", job), Queue{Name: "f", Service: testService, Priority: 2, Slack: 2, MaxAttempts: 2},
			Step{Count: 20, CPU: 1800, Memory: 3000, Estimate: 2500, Filler: true, Image: fmt.Sprint("f", r.IntN(18))})
	}
	for range backlog {
		submitFiller()
	}
	running := placeAndConfirm()
	number := map[string]int64{}
	b.ResetTimer()
	for range b.N {
		c.Advance(15)
		for range min(12, len(running)) {
			o := running[0]
			running = running[1:]
			number[o.Worker]++
			var active []ActiveRun
			for _, t := range s.workers[o.Worker].tasks {
				active = append(active, ActiveRun{Task: t.name().String(), Attempt: t.attempt, Percent: 100, Measurement: 20})
			}
			s.Report(Report{Worker: o.Worker, Born: 1, Clock: c.Now(), Sent: c.Now(), Active: active, Ended: []EndedRun{endedRun(number[o.Worker], o, EndDone)}})
		}
		if r.IntN(3) == 0 {
			submitFiller()
		}
		s.TakeImmediateOrders()
		running = append(running, placeAndConfirm()...)
	}
}

// BenchmarkWaitCheck measures a check of 2,240 long-running tasks of which each is due for a line.
func BenchmarkWaitCheck(b *testing.B) {
	tests := map[string]func(s *Scheduler, w string){
		"unheard":  func(s *Scheduler, w string) { s.CallFailed(w, 1, false) },
		"unplaced": func(s *Scheduler, w string) { s.workers[w].info.CPU = 1 },
		"running":  func(*Scheduler, string) {},
	}
	for name, lose := range tests {
		b.Run(name, func(b *testing.B) {
			c := clock.NewManual(1_000_000)
			s := New(WithClocks(c.Now, c.Now))
			for i := range 490 {
				w := testWorker(i)
				w.CPU, w.Memory = 16000, 64000
				s.UpdateWorker(w)
				if name == "unplaced" {
					lose(s, w.ID)
				}
			}
			for i := range 160 {
				if err := s.Submit(Spec{ID: fmt.Sprint("l", i), Queue: Queue{Name: "l", Service: testService}, Steps: []Step{{Count: 14, CPU: 3200, Memory: 6000, LongRunning: true}}}, func(error) {}); err != nil {
					b.Fatal(err)
				}
			}
			s.Place()
			t := s.TakeBatch()
			s.Stored(t)
			for _, o := range t.Orders {
				s.OrderAnswered(o, Done)
			}
			for id := range s.workers {
				lose(s, id)
			}
			for b.Loop() {
				c.Advance(waitCheckInterval)
				for j := range s.active {
					j.eachTask(func(t *task) { t.nextWaitLine = 0 })
				}
				s.checkWaits()
			}
		})
	}
}
