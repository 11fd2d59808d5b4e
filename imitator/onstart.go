package imitator

import "galenawharf.example/galenawharf/scheduler"

// OnStart makes f be called after each start of a run with the tasks of the runs on all workers, those
// out of reach too. f must not call the pool.
func (p *Pool) OnStart(f func(running []scheduler.TaskName)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onStart = f
}

// noteRunning calls the function set by OnStart.
func (p *Pool) noteRunning() {
	if p.onStart == nil {
		return
	}
	var running []scheduler.TaskName
	for _, w := range p.workers {
		p.expireLease(w)
		for _, r := range w.runs {
			running = append(running, r.order.Task)
		}
	}
	p.onStart(running)
}
