package dispatcher

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Option configures a Dispatcher.
	Option func(*Dispatcher)
)

// WithExecutors sets the client for executors. It is required.
func WithExecutors(e provider.Executors) Option { return func(d *Dispatcher) { d.executors = e } }

// WithNow sets the source of time. It has to advance with the timers of the host.
func WithNow(now func() clock.Millis) Option { return func(d *Dispatcher) { d.now = now } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option { return func(d *Dispatcher) { d.seed = seed } }

// WithName sets the name of this entry host, as the platform lists it.
func WithName(name string) Option { return func(d *Dispatcher) { d.name = name } }

// WithDataCentre sets the data centre of this entry host.
func WithDataCentre(name string) Option { return func(d *Dispatcher) { d.dataCentre = name } }
