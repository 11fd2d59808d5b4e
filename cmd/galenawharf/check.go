package main

import (
	"fmt"
	"os"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/declarer"
)

func newCheck() *command {
	var settings string
	var files []string
	c := newCommand("check", "checks settings and declarations, and names every fault",
		"galenawharf check --settings entry-1.json --file declarations.json",
		func(s streams) error { return check(s, settings, files) })
	c.sub.String(&settings, "s", "settings", "a daemon's settings")
	c.sub.StringSlice(&files, "f", "file", "a file of declarations; may be given again")
	return c
}

func check(s streams, settings string, files []string) error {
	if settings == "" && len(files) == 0 {
		return coder.New(coder.Usage, "give --settings, --file or both")
	}
	var faults coder.Errors
	if settings != "" {
		f, err := checkSettings(settings)
		if err != nil {
			return err
		}
		faults = append(faults, f...)
	}
	if len(files) > 0 {
		f, err := checkDeclarations(files)
		if err != nil {
			return err
		}
		faults = append(faults, f...)
	}
	if len(faults) > 0 {
		return faults
	}
	_, err := fmt.Fprintln(s.out, "no faults")
	return err
}

func checkSettings(file string) (coder.Errors, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, coder.New(coder.NotFound, "%v", err)
	}
	_, faults := configurer.Parse(data)
	return faults.WithRoot(file + ": $"), nil
}

func checkDeclarations(files []string) (coder.Errors, error) {
	items, err := readDeclarations(files)
	if faults, ok := err.(coder.Errors); ok { //nolint:errorlint // readDeclarations returns it unwrapped
		return faults, nil
	}
	if err != nil {
		return nil, err
	}
	return declarer.NewState().Check(declarer.ChangeOf("check", declarer.Plan(nil, items, false))), nil
}
