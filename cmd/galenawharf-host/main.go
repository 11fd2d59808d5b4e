// Command galenawharf-host runs the daemon of one host on the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/platform"
	"galenawharf.example/galenawharf/runner"
)

const (
	// exitUsage and exitFault are the exit codes that the galenawharf command uses as
	// well.
	exitUsage = 2
	exitFault = 1
)

func main() { os.Exit(run()) }

func run() int {
	var path string
	level := "info"
	flaggy.SetName("galenawharf-host")
	flaggy.SetDescription("schedule work on the platform, as the daemon of one host")
	flaggy.String(&path, "s", "settings", "path of the settings (default: $"+platform.SettingsVariable+")")
	flaggy.String(&level, "l", "log-level", "debug, info, warn or error")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.Parse()
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	debug.SetGCPercent(gcPercent)
	var log *logger.Logger
	out := logger.NewBuffer(os.Stdout, func(n int64) { log.Emit(logger.LinesLeftOut, logger.Int("lines", n)) })
	defer out.Close()
	log, err = logger.New(out, level, logger.String("host", s.Host()), logger.String("data-centre", s.DataCentre()))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log.Emit(logger.Started)
	r, err := runner.New(s, log)
	if err != nil {
		log.Emit(logger.StopOverdue, logger.Err(err))
		return exitFault
	}
	for {
		select {
		case <-reload:
			s, err := platform.ReadSettings(path)
			if err != nil {
				log.Emit(logger.ReloadRefused, logger.Err(err))
				continue
			}
			r.Reload(s)
		case <-stop:
			r.Leave(context.Background())
			return 0
		}
	}
}

const (
	// gcPercent is higher than Go's default of 100 to save processor time at the cost of
	// memory: the live heap is only a few MB.
	gcPercent = 200
)
