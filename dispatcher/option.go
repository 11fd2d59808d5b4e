package dispatcher

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Option sets up a Dispatcher.
	Option func(*Dispatcher)
)

// WithExecutors sets how executors are reached.
func WithExecutors(e provider.Executors) Option { return func(d *Dispatcher) { d.executors = e } }

// WithNow sets the source of time; it has to run at the pace of the host's timers.
func WithNow(now func() clock.Millis) Option { return func(d *Dispatcher) { d.now = now } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option { return func(d *Dispatcher) { d.seed = seed } }

// WithName sets the name of the entry host, as the platform's list has it.
func WithName(name string) Option { return func(d *Dispatcher) { d.name = name } }

// WithDataCentre sets the data centre of the entry host.
func WithDataCentre(name string) Option { return func(d *Dispatcher) { d.dataCentre = name } }
