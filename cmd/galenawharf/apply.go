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
	steps, err := computePlan(r, files, prune)
	if err != nil {
		return err
	}
	if err := printPlan(s.out, steps); err != nil || len(steps) == 0 {
		return err
	}
	change := declarer.ChangeOf(r.operator, steps)
	resp, err := call(r, &schema.ApplyRequest{Operator: r.operator, Items: change.GetItems()}, applyCall)
	if err != nil {
		return err
	}
	if err := resultError(resp.GetResultCode(), resp.GetReason()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "in force at version %d\n", resp.GetVersion())
	return err
}

func applyCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	return c.Apply
}

// fetchDeclarations returns the declarations in force at the daemon, with their
// versions.
func fetchDeclarations(r *remote) ([]declarer.Item, error) {
	resp, err := call(r, &schema.GetRequest{}, getCall)
	if err != nil {
		return nil, err
	}
	items := make([]declarer.Item, 0, len(resp.GetItems()))
	for _, i := range resp.GetItems() {
		item, faults := declarer.ParseItem(declarer.Kind(i.GetKind()), i.GetName(), []byte(i.GetDocument()), i.GetKind()+"/"+i.GetName())
		if len(faults) > 0 {
			return nil, coder.New(coder.Malformed, "can't parse the daemon's declarations; it may run another version: %v", faults)
		}
		items = append(items, item.WithVersion(i.GetVersion()))
	}
	return items, nil
}
