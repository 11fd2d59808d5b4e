package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newApply() *command {
	var r remote
	var files []string
	var prune bool
	c := newCommand("apply", "brings declarations into force, unless another operator got there first",
		"galenawharf apply --operator ana --file declarations.json",
		func(s streams) error { return apply(s, &r, files, prune) })
	r.flags(c)
	r.operatorFlag(c)
	c.sub.StringSlice(&files, "f", "file", "a file of declarations; may be given again")
	c.sub.Bool(&prune, "p", "prune", "delete what is in force but not in the files")
	return c
}

func apply(s streams, r *remote, files []string, prune bool) error {
	steps, err := planned(r, files, prune)
	if err != nil {
		return err
	}
	if err := printPlan(s.out, steps); err != nil || len(steps) == 0 {
		return err
	}
	change := declarer.ChangeOf(r.operator, steps)
	got, err := ask(r, &schema.ApplyRequest{Operator: r.operator, Items: change.GetItems()}, applyCall)
	if err != nil {
		return err
	}
	if err := refused(got.GetResultCode(), got.GetReason()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "in force at version %d\n", got.GetVersion())
	return err
}

func applyCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	return c.Apply
}

// inForce gives the declarations in force, with their versions.
func inForce(r *remote) ([]declarer.Item, error) {
	got, err := ask(r, &schema.GetRequest{}, getCall)
	if err != nil {
		return nil, err
	}
	items := make([]declarer.Item, 0, len(got.GetItems()))
	for _, i := range got.GetItems() {
		item, faults := declarer.ParseItem(declarer.Kind(i.GetKind()), i.GetName(), []byte(i.GetDocument()), i.GetKind()+"/"+i.GetName())
		if len(faults) > 0 {
			return nil, coder.New(coder.Malformed, "the daemon's answer can't be read; is it of another version? %v", faults)
		}
		items = append(items, item.WithVersion(i.GetVersion()))
	}
	return items, nil
}
