// Command galenawharf runs and operates the scheduler. Run it without
// arguments for its subcommands.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/coder"
)

type (
	// command is a subcommand and the function that runs it.
	command struct {
		sub *flaggy.Subcommand
		run func(s streams) error
	}

	// streams are the outputs of a command: its result and its errors.
	streams struct {
		out io.Writer
		err io.Writer
	}
)

const appDescription = "galenawharf schedules latency-critical and batch work on shared workers and forecasts its bill"

// version is set with -ldflags in releases.
var version = "development"

func main() { os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr})) }

// run executes a command line and returns the exit code.
func run(args []string, s streams) int {
	flaggy.PanicInsteadOfExit = true
	p := flaggy.NewParser("galenawharf")
	p.Description = appDescription
	p.Version = version
	p.DisableShowVersionWithVersion()
	commands := allCommands()
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if code, done := parseArgs(p, args, s.err); done {
		return code
	}
	for _, c := range commands {
		if c.sub.Used {
			return reportError(c.run(s), s.err)
		}
	}
	p.ShowHelp()
	return reportError(coder.New(coder.Usage, "name a subcommand"), s.err)
}

func allCommands() []*command {
	return []*command{
		newServe(), newCheck(), newPlan(), newApply(), newGet(), newCancel(), newDrain(), newRestore(),
		newForecast(), newExplain(), newAudit(), newTrace(), newDemo(), newVersion(),
	}
}

// parseArgs parses the command line. With flaggy.PanicInsteadOfExit the parser prints
// its help or error and then panics with the exit code; done is then true and code is
// what run returns.
func parseArgs(p *flaggy.Parser, args []string, w io.Writer) (code int, done bool) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if strings.HasSuffix(fmt.Sprint(r), "code: 0") {
			code, done = exitOK, true
			return
		}
		code, done = reportError(coder.New(coder.Usage, "invalid command line"), w), true
	}()
	if err := p.ParseArgs(args); err != nil {
		return reportError(coder.New(coder.Usage, "%v", err), w), true
	}
	return exitOK, false
}

func newCommand(name, description, example string, run func(streams) error) *command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Example:\n    " + example
	return &command{sub: sub, run: run}
}

// reportError writes err to w and returns the exit code for it.
func reportError(err error, w io.Writer) int {
	if err == nil {
		return exitOK
	}
	var list coder.Errors
	var single *coder.Error
	switch {
	case errors.As(err, &list):
		_, _ = fmt.Fprintln(w, list.Error())
	case errors.As(err, &single):
		_, _ = fmt.Fprintln(w, single.Error())
	default:
		_, _ = fmt.Fprintf(w, "%s: %v\n", coder.Internal, err)
	}
	return exitCode(coder.Of(err))
}
