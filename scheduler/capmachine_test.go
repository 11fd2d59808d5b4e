package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// capMachine plays a leader, its store and its workers, with faults, and knows what runs on the
	// workers.
	capMachine struct {
		t       *rapid.T
		clock   *clock.Manual
		s       *Scheduler
		store   *recordStore
		epoch   int
		caps    map[string]sizer.Size
		workers []*modelWorker
		// late are orders that are still to be carried out.
		late      []sentOrder
		jobs      int
		starts    int
		faultless bool
	}

	// modelWorker carries out orders as the platform describes it.
	modelWorker struct {
		info WorkerInfo
		// entry is that of the registry, which lags behind.
		entry          WorkerInfo
		leaseUntil     clock.Millis
		runs           map[string]sentOrder
		highestAttempt map[string]int
		ended          []EndedRun
		lastEnd        int64
		epoch          int
		silent         bool
	}

	// sentOrder is an order with the cap of its tenant when it was sent.
	sentOrder struct {
		Order
		epoch  int
		tenant string
		size   sizer.Size
		cap    sizer.Size
	}
)

var (
	capTenants = []string{"", "a", "b", "c"}
	capSteps   = []Step{
		{Count: 3, CPU: 1000, Memory: 500}, {Count: 12, CPU: 500, Memory: 100}, {Count: 2, CPU: 1000, Memory: 100, Gang: true},
		{Count: 2, CPU: 1500, Memory: 100, LongRunning: true}, {Count: 4, CPU: 1000, Memory: 100, Filler: true, Image: "f"},
	}
)

func newCapMachine(t *rapid.T) *capMachine {
	m := &capMachine{t: t, clock: clock.NewManual(1_000_000), store: &recordStore{records: map[string][]byte{}}, caps: map[string]sizer.Size{}}
	for i := range 4 {
		w := &modelWorker{info: testWorker(i)}
		w.restart()
		w.entry = w.info
		m.workers = append(m.workers, w)
	}
	for _, n := range capTenants[1:] {
		m.caps[n] = sizer.New(3000, 0, 0)
	}
	m.lead()
	return m
}

func (w *modelWorker) restart() {
	w.info.Born++
	w.runs, w.highestAttempt, w.ended, w.lastEnd, w.epoch, w.leaseUntil = map[string]sentOrder{}, map[string]int{}, nil, 0, 0, 0
}

// lead starts a new leader from the records.
func (m *capMachine) lead() {
	m.epoch++
	m.s = New(WithClocks(m.clock.Now, m.clock.Now))
	for _, w := range m.workers {
		if !m.chance(10, "not registered") {
			m.s.UpdateWorker(w.entry)
		}
	}
	m.setTenants()
	until := LeaseBound(m.clock.Now(), defaultLease)
	for _, k := range slices.Sorted(maps.Keys(m.store.records)) {
		if err := m.s.Load(k, m.store.records[k], until); err != nil {
			m.t.Fatal(err)
		}
	}
	m.s.Inherit(until)
}

func (m *capMachine) setTenants() {
	var ts []Tenant
	for _, n := range slices.Sorted(maps.Keys(m.caps)) {
		ts = append(ts, Tenant{Name: n, Weight: 1, Cap: m.caps[n]})
	}
	m.s.SetTenants(ts)
}

// chance draws whether something with the given odds of one in n happens. Nothing does without faults.
func (m *capMachine) chance(n int, what string) bool {
	return !m.faultless && rapid.IntRange(1, n).Draw(m.t, what) == n
}

// step places, stores and sends, as a leader does after each event. It may lose the lead in between.
func (m *capMachine) step() {
	m.s.Sweep()
	m.s.Place()
	for range 3 {
		b := m.s.TakeBatch()
		if b != nil {
			if m.chance(60, "dies before storing") {
				m.lead()
				return
			}
			m.store.apply(b)
			if m.chance(60, "dies after storing") {
				m.lead()
				return
			}
			if m.chance(30, "stores slowly") {
				m.clock.Advance(300)
			}
			m.s.Stored(b)
			m.send(b.Orders...)
		}
		m.send(m.s.TakeImmediateOrders()...)
	}
}

// send sends orders as the conductor does.
func (m *capMachine) send(os ...Order) {
	for _, o := range os {
		q := sentOrder{Order: o, epoch: m.epoch}
		if o.Kind == Start {
			d, ok := m.s.Lease(o.Worker, o.Born)
			if !ok || !m.s.MayStart(o) {
				m.s.OrderAnswered(o, Withheld)
				continue
			}
			spec := &m.s.jobs[o.Task.Job].spec
			q.Deadline, q.tenant, q.size, q.cap = d, spec.Tenant, spec.Steps[o.Task.Step].Size(), m.caps[spec.Tenant]
		}
		out := m.deliver(q)
		m.s.OrderAnswered(o, out)
		if out == WorkerRestarted {
			m.s.WorkerReplaced(o.Worker, o.Address, o.Born, m.worker(o.Worker).info.Born)
		}
	}
}

func (m *capMachine) worker(id string) *modelWorker {
	return m.workers[slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.info.ID == id })]
}

func (m *capMachine) deliver(q sentOrder) Outcome {
	w := m.worker(q.Worker)
	switch {
	case m.chance(10, "late order"):
		m.late = append(m.late, q)
		return Unclear
	case w.silent, m.chance(20, "lost order"):
		return Unclear
	case m.chance(20, "no connection"):
		return NotSent
	}
	out := m.execute(w, q)
	if m.chance(8, "lost answer") {
		return Unclear
	}
	return out
}

func (m *capMachine) execute(w *modelWorker, q sentOrder) Outcome {
	if q.Born != w.info.Born {
		return WorkerRestarted
	}
	m.expire(w)
	if q.epoch < w.epoch {
		return Fenced
	}
	w.epoch = q.epoch
	name := q.Task.String()
	r, runs := w.runs[name]
	switch {
	case q.Kind == Stop:
		w.highestAttempt[name] = max(w.highestAttempt[name], q.Attempt)
		if runs && r.Attempt <= q.Attempt {
			w.end(name, EndStopped)
		}
	case q.Kind != Start || runs && r.Attempt == q.Attempt:
	case q.Attempt <= w.highestAttempt[name]:
		return Obsolete
	case q.Deadline <= m.clock.Now():
		return Late
	default:
		w.leaseUntil = max(w.leaseUntil, q.Deadline)
		w.highestAttempt[name] = q.Attempt
		if runs {
			w.end(name, EndStopped)
		}
		w.runs[name] = q
		m.starts++
		m.checkCaps(q.tenant)
	}
	return Done
}

func (w *modelWorker) end(name string, how Ending) {
	w.lastEnd++
	w.ended = append(w.ended, endedRun(w.lastEnd, w.runs[name].Order, how))
	delete(w.runs, name)
}

func (m *capMachine) expire(w *modelWorker) {
	if m.clock.Now() >= w.leaseUntil {
		for _, name := range slices.Sorted(maps.Keys(w.runs)) {
			w.end(name, EndLapsed)
		}
	}
}

// checkCaps checks what runs against the highest of the caps that were in force when it was sent.
func (m *capMachine) checkCaps(tenant string) {
	running, highest := m.running(tenant)
	if tenant != "" && !running.Fits(highest) {
		m.t.Fatalf("%s runs %v, its cap was at most %v", tenant, running, highest)
	}
}

func (m *capMachine) running(tenant string) (sum, highest sizer.Size) {
	for _, w := range m.workers {
		m.expire(w)
		for _, r := range w.runs {
			if r.tenant == tenant {
				q := quotaOf(r.cap)
				sum = sum.Add(r.size)
				highest = sizer.New(max(highest.Millicores(), q.Millicores()), max(highest.MemoryBytes(), q.MemoryBytes()), max(highest.Accelerators(), q.Accelerators()))
			}
		}
	}
	return sum, highest
}

// checkHeld checks that the leader counts at least what runs.
func (m *capMachine) checkHeld(*rapid.T) {
	for _, n := range capTenants[1:] {
		if running, _ := m.running(n); !running.Fits(m.s.sharer.Held(n)) {
			m.t.Fatalf("%s runs %v, the leader counts %v", n, running, m.s.sharer.Held(n))
		}
	}
}

// poll polls a worker as the conductor does.
func (m *capMachine) poll(w *modelWorker) {
	m.s.SessionOf(w.info.ID, func(q Session) {
		if w.silent || m.chance(20, "unanswered poll") {
			m.s.CallFailed(q.Worker, q.Born, false)
			return
		}
		if q.Born != w.info.Born {
			m.s.WorkerReplaced(q.Worker, q.Address, q.Born, w.info.Born)
			return
		}
		m.expire(w)
		if d, ok := m.s.Lease(q.Worker, q.Born); ok {
			w.leaseUntil = max(w.leaseUntil, d)
		}
		w.epoch = m.epoch
		w.ended = slices.DeleteFunc(w.ended, func(e EndedRun) bool { return e.Number <= q.Acked })
		m.s.AckDelivered(q.Worker, q.Born, q.Acked)
		r := Report{Worker: q.Worker, Born: q.Born, Clock: m.clock.Now(), Sent: m.clock.Now(), Ended: slices.Clone(w.ended)}
		for _, name := range slices.Sorted(maps.Keys(w.runs)) {
			// Runs without progress would be stopped.
			r.Active = append(r.Active, ActiveRun{Task: name, Attempt: w.runs[name].Attempt, Percent: 1 + int(m.clock.Now()/100%90)})
		}
		m.clock.Advance(1)
		m.s.Report(r)
	})
}

func (m *capMachine) register(w *modelWorker) {
	w.info.Clock = m.clock.Now()
	w.entry = w.info
	m.s.UpdateWorker(w.entry)
}

// settle plays without faults until what the leader counts should be what runs.
func (m *capMachine) settle() {
	m.faultless = true
	for _, q := range m.late {
		m.execute(m.worker(q.Worker), q)
	}
	m.late = nil
	for range 200 {
		m.clock.Advance(100)
		for _, w := range m.workers {
			w.silent = false
			m.register(w)
			m.poll(w)
		}
		m.step()
		m.checkHeld(m.t)
	}
	for _, n := range capTenants[1:] {
		if running, _ := m.running(n); running != m.s.sharer.Held(n) {
			m.t.Fatalf("%s runs %v, the leader still counts %v", n, running, m.s.sharer.Held(n))
		}
	}
	for _, w := range m.s.workers {
		if len(w.stale) > 0 {
			m.t.Fatalf("%s has %d stale runs", w.info.ID, len(w.stale))
		}
	}
}

// anyWorker draws a worker.
func (m *capMachine) anyWorker() *modelWorker {
	return rapid.SampledFrom(m.workers).Draw(m.t, "worker")
}

func (m *capMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.checkHeld,
		"submit": func(t *rapid.T) {
			m.jobs++
			spec := Spec{ID: fmt.Sprint("job", m.jobs), Tenant: rapid.SampledFrom(capTenants).Draw(t, "tenant"), Queue: Queue{Name: "q", Service: testService, MaxAttempts: 3, Slack: 2},
				Steps: []Step{rapid.SampledFrom(capSteps).Draw(t, "step"), rapid.SampledFrom(capSteps).Draw(t, "step")}}
			_ = m.s.Submit(spec, func(error) {})
			m.step()
		},
		"cancel": func(t *rapid.T) {
			_ = m.s.Cancel(fmt.Sprint("job", rapid.IntRange(0, m.jobs).Draw(t, "job")), "", func(error) {})
			m.step()
		},
		"end": func(t *rapid.T) {
			w := m.anyWorker()
			if names := slices.Sorted(maps.Keys(w.runs)); len(names) > 0 {
				w.end(rapid.SampledFrom(names).Draw(t, "run"), rapid.SampledFrom([]Ending{EndDone, EndDone, EndFailed}).Draw(t, "how"))
			}
		},
		"poll": func(*rapid.T) { m.poll(m.anyWorker()); m.step() },
		"poll all": func(*rapid.T) {
			m.clock.Advance(200)
			for _, w := range m.workers {
				m.poll(w)
			}
			m.step()
		},
		"wait": func(t *rapid.T) { m.clock.Advance(clock.Millis(rapid.IntRange(1, 3000).Draw(t, "ms"))); m.step() },
		"late": func(t *rapid.T) {
			if len(m.late) > 0 {
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "order")
				q := m.late[i]
				m.late = slices.Delete(m.late, i, i+1)
				m.execute(m.worker(q.Worker), q)
			}
		},
		"silence":  func(*rapid.T) { w := m.anyWorker(); w.silent = !w.silent },
		"register": func(*rapid.T) { m.register(m.anyWorker()) },
		"leave":    func(*rapid.T) { m.s.RemoveWorker(m.anyWorker().info.ID) },
		"restart": func(*rapid.T) {
			if m.chance(3, "restart") {
				m.anyWorker().restart()
			}
		},
		"take over": func(*rapid.T) { m.lead(); m.step() },
		"change cap": func(t *rapid.T) {
			n := rapid.SampledFrom(capTenants[1:]).Draw(t, "tenant")
			if m.caps[n] = sizer.New(int64(rapid.IntRange(0, 6).Draw(t, "cpu"))*1000, int64(rapid.IntRange(0, 2).Draw(t, "memory"))*600*sizer.MiB, 0); m.chance(6, "removed") {
				delete(m.caps, n)
			}
			m.setTenants()
		},
	}
}

// TestNeverMoreRunningThanCap guards against anything that lets a tenant have more running than its cap,
// or that keeps counting runs which are over: lost answers, late orders, silent and restarted workers,
// takeovers, cancelled jobs and changed caps.
func TestNeverMoreRunningThanCap(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newCapMachine(t)
		// The default number of steps is too low to fill the workers.
		for range 3 {
			t.Repeat(m.actions())
		}
		m.settle()
		starts += m.starts
	})
	t.Logf("%d starts", starts)
}
