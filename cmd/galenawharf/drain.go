package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newDrain() *command {
	return drainCommand("drain", "takes a data centre or host out of service, and says where that is in force",
		"galenawharf drain data-centre port-of-spain-1", false)
}

func drainCommand(name, description, example string, restore bool) *command {
	var r remote
	var o output
	var kind, place string
	c := newCommand(name, description, example, func(s streams) error {
		q := &schema.DrainRequest{Operator: r.operator, Kind: kind, Name: place, Restore: restore}
		got, err := ask(&r, q, drainCall)
		if err != nil {
			return err
		}
		if err := refused(got.GetResultCode(), got.GetReason()); err != nil {
			return err
		}
		rows := make([]row, 0, len(got.GetViews()))
		for _, v := range got.GetViews() {
			rows = append(rows, row{v.GetDataCentre(), inForceText(v.GetConfirmed()), fmt.Sprint(got.GetVersion())})
		}
		return o.write(s.out, got, row{"DATA CENTRE", "IN FORCE", "VERSION"}, rows)
	})
	r.flags(c)
	r.operatorFlag(c)
	o.flags(c)
	c.sub.AddPositionalValue(&kind, "kind", 1, true, "data-centre or host")
	c.sub.AddPositionalValue(&place, "name", 2, true, "its name")
	return c
}

func inForceText(confirmed bool) string {
	if confirmed {
		return "yes"
	}
	return "not confirmed"
}

func drainCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.DrainRequest]) (*connect.Response[schema.DrainResponse], error) {
	return c.Drain
}
