package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/demonstrator"
	"galenawharf.example/galenawharf/sizer"
)

// runCommand runs a command line and returns its exit code, output and errors.
func runCommand(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, err bytes.Buffer
	code := run(args, streams{out: &out, err: &err})
	return code, out.String(), err.String()
}

// writeFile writes text to a file of a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(f, []byte(text), 0o600))
	return f
}

func TestCommandErrors(t *testing.T) {
	bad := writeFile(t, "bad.json", `{"teams":[{"name":"A"},{"nam":"b"}]}`)
	settings := writeFile(t, "settings.json", `{"name":"entry-1","listen":{"callers":"localhost"}}`)
	tests := map[string]struct {
		args []string
		exit int
		want string
	}{
		"no arguments":         {exit: exitUsage, want: "GW0002: name a subcommand"},
		"unknown flag":         {args: []string{"get", "--loud"}, exit: exitUsage, want: "GW0002: "},
		"unknown subcommand":   {args: []string{"destroy"}, exit: exitUsage},
		"no settings":          {args: []string{"serve"}, exit: exitUsage, want: "GW0002: --settings: "},
		"settings not found":   {args: []string{"serve", "--settings", "/nonexistent.json"}, exit: exitRefused, want: "GW2002: "},
		"bad settings":         {args: []string{"serve", "--settings", settings}, exit: exitRefused, want: "$.listen.callers: "},
		"check without flags":  {args: []string{"check"}, exit: exitUsage, want: "GW0002: "},
		"check lists errors":   {args: []string{"check", "--file", bad}, exit: exitRefused, want: "GW1002: " + bad + ": $.teams[1].nam: "},
		"plan without files":   {args: []string{"plan"}, exit: exitUsage, want: "GW0002: --file: "},
		"no daemon":            {args: []string{"get", "--address", "127.0.0.1:1"}, exit: exitUnreachable, want: "GW0003: no daemon answers at 127.0.0.1:1"},
		"address is a name":    {args: []string{"get", "--address", "localhost:7100"}, exit: exitRefused, want: "GW1007: --address: "},
		"drain without a name": {args: []string{"drain", "data-centre"}, exit: exitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			code, _, errs := runCommand(t, tc.args...)
			must.Eq(t, tc.exit, code, must.Sprint(errs))
			must.StrContains(t, errs, tc.want)
		})
	}
}

func TestHelpHasAnExample(t *testing.T) {
	for _, c := range allCommands() {
		t.Run(c.sub.Name, func(t *testing.T) {
			must.StrContains(t, c.sub.AdditionalHelpAppend, "galenawharf "+c.sub.Name)
			must.NotEq(t, "", c.sub.Description)
		})
	}
}

// TestCommandsAgainstDaemon runs each client command, in the order of an operator's
// work, against a deployment of two data centres with one daemon each.
func TestCommandsAgainstDaemon(t *testing.T) {
	d, err := demonstrator.Start(demonstrator.Config{
		DataCentres: []string{"maribor", "ptuj"}, Daemons: []int{1, 1}, Workers: 2, Executors: 1,
		Capacity: sizer.New(16_000, 60*sizer.GiB, 0), Service: "scheduling",
	}, io.Discard)
	must.NoError(t, err)
	t.Cleanup(d.Close)
	for !d.Ready(0) || !d.Ready(1) {
		runtime.Gosched()
	}
	file := writeFile(t, "declarations.json", `{
		"operators":[{"name":"sorica","currency":"EUR","time-zone":"Europe/Ljubljana"}],
		"data-centres":[{"name":"maribor","region":"east"},{"name":"ptuj","region":"east"}],
		"teams":[{"name":"rosters","quota":{"processors":8,"memory":"32GiB"}}],
		"services":[{"name":"scheduling","team":"rosters","replicas":2,"size":{"processors":1,"memory":"2GiB"},"latency-target":"400ms"}],
		"prices":[{"data-centre":"maribor","resource":"processors","from":"2026-01-01","hourly-millionths":1500000}]}`)
	other := writeFile(t, "other.json", `{"teams":[{"name":"rosters","quota":{"processors":16,"memory":"32GiB"}}]}`)
	steps := []struct {
		args []string
		exit int
		want string
		// retry repeats the command until its output matches: a peer confirms a
		// drain only some heartbeats later.
		retry bool
	}{
		{args: []string{"check", "--file", file}, want: "no faults"},
		{args: []string{"plan", "--file", file}, want: "add +service/scheduling"},
		{args: []string{"apply", "--operator", "ana", "--file", file}, want: "in force at version"},
		{args: []string{"apply", "--operator", "ana", "--file", file}, want: "nothing to change"},
		{args: []string{"plan", "--file", other}, want: "change +team/rosters"},
		{args: []string{"get", "service", "scheduling"}, want: "running|waiting|scheduling"},
		{args: []string{"get", "--output", "json", "team"}, want: `"kind": *"team"`},
		{args: []string{"get", "team", "nobody"}, exit: exitRefused, want: "GW2002"},
		{args: []string{"drain", "data-centre", "ptuj", "--operator", "ana"}, retry: true, want: "ptuj +yes"},
		{args: []string{"drain", "data-centre", "vienna", "--operator", "ana"}, exit: exitRefused, want: "GW1006"},
		{args: []string{"restore", "data-centre", "ptuj", "--operator", "ana"}, retry: true, want: "maribor +yes"},
		{args: []string{"cancel", "nothing", "--operator", "ana"}, exit: exitRefused, want: "GW2002"},
		{args: []string{"forecast", "--by", "work"}, want: "scheduling"},
		{args: []string{"forecast", "--by", "colour"}, exit: exitRefused, want: "GW1007"},
		{args: []string{"forecast", "--output", "csv"}, want: "(?m)^.*,.*,"},
		{args: []string{"forecast", "--output", "html"}, want: "<svg"},
		{args: []string{"forecast", "--output", "stone"}, exit: exitUsage, want: "GW0002"},
		{args: []string{"explain", "--against", "plan"}, want: "(?i)plan|cause|from"},
		{args: []string{"explain", "--what-if", other}, want: "EUR"},
		{args: []string{"audit"}, want: "ana +drain/data-centre.ptuj +accepted"},
		{args: []string{"version"}, want: "development"},
	}
	for _, s := range steps {
		t.Run(strings.Join(s.args[:min(2, len(s.args))], " "), func(t *testing.T) {
			args := s.args
			if args[0] != "check" && args[0] != "version" {
				args = append(args, "--address", d.Address(0))
			}
			want := regexp.MustCompile(s.want)
			code, out, errs := runCommand(t, args...)
			for s.retry && !want.MatchString(out) {
				code, out, errs = runCommand(t, args...)
			}
			must.Eq(t, s.exit, code, must.Sprint(errs))
			must.RegexMatch(t, want, out+errs)
		})
	}
}
