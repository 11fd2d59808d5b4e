package main

import (
	"fmt"
	"io"

	"galenawharf.example/galenawharf/declarer"
)

func newPlan() *command {
	var r remote
	var files []string
	var prune bool
	c := newCommand("plan", "shows what applying declarations would change",
		"galenawharf plan --file declarations.json",
		func(s streams) error {
			steps, err := computePlan(&r, files, prune)
			if err != nil {
				return err
			}
			return printPlan(s.out, steps)
		})
	r.flags(c)
	c.sub.StringSlice(&files, "f", "file", "a file of declarations; may be given again")
	c.sub.Bool(&prune, "p", "prune", "delete what is in force but not in the files")
	return c
}

// computePlan returns the steps from the declarations in force at the daemon to those in
// the files.
func computePlan(r *remote, files []string, prune bool) ([]declarer.Step, error) {
	desired, err := readDeclarations(files)
	if err != nil {
		return nil, err
	}
	current, err := fetchDeclarations(r)
	if err != nil {
		return nil, err
	}
	return declarer.Plan(current, desired, prune), nil
}

func printPlan(w io.Writer, steps []declarer.Step) error {
	if len(steps) == 0 {
		_, err := fmt.Fprintln(w, "nothing to change")
		return err
	}
	rows := make([]row, 0, len(steps))
	for _, s := range steps {
		rows = append(rows, row{stepAction(s), s.Key().String(), fmt.Sprint(s.Before().Version()), string(s.Before().Document()), string(s.After().Document())})
	}
	return writeTable(w, row{"CHANGE", "ITEM", "VERSION", "FROM", "TO"}, rows)
}

func stepAction(s declarer.Step) string {
	switch {
	case s.Deletes():
		return "delete"
	case s.Before().Version() == 0:
		return "add"
	}
	return "change"
}
