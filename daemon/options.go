package daemon

import (
	"io"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Option configures a Daemon.
	Option func(*Daemon)

	// Platform has the clients of the platform's services that a daemon uses.
	Platform struct {
		Log       provider.Log
		Hosts     provider.Hosts
		Workers   provider.Workers
		Executors provider.Executors
	}
)

// WithClock sets the clock, which must be monotonic.
func WithClock(now func() clock.Millis) Option { return func(d *Daemon) { d.now = now } }

// WithLogOutput sets the output of the log lines; the default is os.Stderr.
func WithLogOutput(w io.Writer) Option { return func(d *Daemon) { d.logOutput = w } }

// WithPlatform replaces the clients of the platform that the settings name.
func WithPlatform(p Platform) Option { return func(d *Daemon) { d.platform = p } }
