package main

import (
	"os"
	"os/signal"
	"syscall"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/daemon"
)

func newServe() *command {
	var settings string
	c := newCommand("serve", "runs the daemon of an entry host until it is told to stop",
		"galenawharf serve --settings entry-1.json",
		func(s streams) error { return serve(s, settings) })
	c.sub.String(&settings, "s", "settings", "the daemon's settings")
	return c
}

func serve(s streams, file string) error {
	if file == "" {
		return coder.At(coder.Usage, "--settings", "give the file of the daemon's settings")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return coder.New(coder.NotFound, "%v", err)
	}
	settings, faults := configurer.Parse(data)
	if len(faults) > 0 {
		return faults.WithRoot(file + ": $")
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(stop)
	d, err := daemon.New(settings, daemon.WithLogOutput(s.err))
	if err != nil {
		return err
	}
	<-stop
	return shutdown(d, stop)
}

// shutdown shuts the daemon down. Further signals meanwhile are logged and otherwise
// ignored.
func shutdown(d *daemon.Daemon, signals <-chan os.Signal) error {
	done := make(chan error, 1)
	go func() { done <- d.Shutdown() }()
	for {
		select {
		case err := <-done:
			return err
		case <-signals:
			d.NoteSecondSignal()
		}
	}
}
