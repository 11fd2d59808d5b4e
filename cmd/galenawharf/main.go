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
	// command is one subcommand.
	command struct {
		sub *flaggy.Subcommand
		run func(s streams) error
	}

	// streams are where a command writes.
	streams struct {
		out io.Writer
		err io.Writer
	}
)

const about = "galenawharf schedules latency-critical and batch work on shared workers and forecasts its bill"

// version is set by the linker in releases.
var version = "development"

func main() { os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr})) }

// run carries out a command line and gives the exit code.
func run(args []string, s streams) int {
	flaggy.PanicInsteadOfExit = true
	p := flaggy.NewParser("galenawharf")
	p.Description = about
	p.Version = version
	p.DisableShowVersionWithVersion()
	commands := all()
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if code, done := parse(p, args, s.err); done {
		return code
	}
	for _, c := range commands {
		if c.sub.Used {
			return finish(c.run(s), s.err)
		}
	}
	p.ShowHelp()
	return finish(coder.New(coder.Usage, "name a subcommand"), s.err)
}

func all() []*command {
	return []*command{
		newServe(), newCheck(), newPlan(), newApply(), newGet(), newCancel(), newDrain(), newRestore(),
		newForecast(), newExplain(), newAudit(), newTrace(), newDemo(), newVersion(),
	}
}

// parse reads the command line. The parser ends by a panic with its exit code,
// after it has written why.
func parse(p *flaggy.Parser, args []string, w io.Writer) (code int, done bool) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if strings.HasSuffix(fmt.Sprint(r), "code: 0") {
			code, done = exitOK, true
			return
		}
		code, done = finish(coder.New(coder.Usage, "the command line can't be read"), w), true
	}()
	if err := p.ParseArgs(args); err != nil {
		return finish(coder.New(coder.Usage, "%v", err), w), true
	}
	return exitOK, false
}

func newCommand(name, description, example string, run func(streams) error) *command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\n  Example:\n    " + example
	return &command{sub: sub, run: run}
}

func finish(err error, w io.Writer) int {
	if err == nil {
		return exitOK
	}
	var many coder.Errors
	var one *coder.Error
	switch {
	case errors.As(err, &many):
		_, _ = fmt.Fprintln(w, many.Error())
	case errors.As(err, &one):
		_, _ = fmt.Fprintln(w, one.Error())
	default:
		_, _ = fmt.Fprintf(w, "%s: %v\n", coder.Internal, err)
	}
	return exitOf(coder.Of(err))
}
