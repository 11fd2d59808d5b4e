package placer

import (
	"galenawharf.example/galenawharf/clock"
)

type (
	// scenario is a load, and the events of a simulation.
	scenario struct {
		name string
		// declarationError is the factor by which declared sizes and run times are wrong.
		declarationError float64
		// offeredLoad is the batch work that arrives, as a fraction of all processors.
		offeredLoad float64
		// onTick is called at every tick.
		onTick func(w *simulation)
	}
)

const (
	// warmUp is the time after which the measurement starts.
	warmUp     = 15 * clock.Minute
	phaseStart = 25 * clock.Minute
	phaseEnd   = 40 * clock.Minute
	runLength  = 55 * clock.Minute
	// normalLoad and highLoad are utilizations of service replicas.
	normalLoad = 0.45
	highLoad   = 0.85
)

// inPhase reports whether the phase with the scenario's events is in progress.
func (w *simulation) inPhase() bool { return w.now >= phaseStart && w.now < phaseEnd }

func scenarios() []scenario {
	return []scenario{
		{name: "calm", declarationError: 1, offeredLoad: 0.5, onTick: func(*simulation) {}},
		{name: "load shift", declarationError: 1, offeredLoad: 0.85, onTick: func(w *simulation) {
			w.serviceLoad = normalLoad
			if w.inPhase() {
				w.serviceLoad = highLoad
			}
		}},
		{name: "noisy wave", declarationError: 1, offeredLoad: 0.85, onTick: func(w *simulation) {
			w.hogFactor = 1
			if w.inPhase() {
				w.hogFactor = 6
			}
		}},
		{name: "mis-declared", declarationError: 4, offeredLoad: 0.85, onTick: func(*simulation) {}},
		{name: "bad workers", declarationError: 1, offeredLoad: 0.85, onTick: func(w *simulation) {
			for i := range 3 {
				w.hosts[i*3%len(w.hosts)].bad = w.inPhase()
			}
			w.families[1].alwaysFails = true
			w.families[6].alwaysFails = true
		}},
		{name: "failed hosts", declarationError: 1, offeredLoad: 0.85, onTick: func(w *simulation) {
			for i := range 4 {
				at := phaseStart + clock.Millis(i)*3*clock.Minute
				switch w.now {
				case at:
					w.failHost(w.hosts[i*2%len(w.hosts)])
				case at + 5*clock.Minute:
					w.repairHost(w.hosts[i*2%len(w.hosts)])
				}
			}
		}},
		{name: "centre out", declarationError: 1, offeredLoad: 0.85, onTick: func(w *simulation) {
			switch w.now {
			case phaseStart:
				w.drain(centres[1])
			case phaseEnd:
				w.undrain(centres[1])
			}
		}},
		{name: "cancel burst", declarationError: 1, offeredLoad: 0.85, onTick: func(w *simulation) {
			if w.now == phaseStart || w.now == phaseStart+2*clock.Minute {
				w.cancelMost()
			}
		}},
	}
}
