package daemon

import (
	"io"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Option sets up a Daemon.
	Option func(*Daemon)

	// Platform is what a daemon uses of the platform.
	Platform struct {
		Log       provider.Log
		Hosts     provider.Hosts
		Workers   provider.Workers
		Executors provider.Executors
	}
)

// WithClock sets where the daemon takes its time from.
func WithClock(now func() clock.Millis) Option { return func(d *Daemon) { d.now = now } }

// WithLogOutput sets where log lines go.
func WithLogOutput(w io.Writer) Option { return func(d *Daemon) { d.logOutput = w } }

// WithPlatform sets the platform, in place of the one that the settings name.
func WithPlatform(p Platform) Option { return func(d *Daemon) { d.platform = p } }
