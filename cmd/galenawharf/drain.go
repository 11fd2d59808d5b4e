package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newDrain() *command {
	return newDrainCommand("drain", "takes a data centre or host out of service, and says where that is in force",
		"galenawharf drain data-centre port-of-spain-1", false)
}

func newDrainCommand(name, description, example string, restore bool) *command {
	var r remote
	var o output
	var kind, target string
	c := newCommand(name, description, example, func(s streams) error {
		q := &schema.DrainRequest{Operator: r.operator, Kind: kind, Name: target, Restore: restore}
		resp, err := call(&r, q, drainCall)
		if err != nil {
			return err
		}
		if err := resultError(resp.GetResultCode(), resp.GetReason()); err != nil {
			return err
		}
		rows := make([]row, 0, len(resp.GetViews()))
		for _, v := range resp.GetViews() {
			rows = append(rows, row{v.GetDataCentre(), confirmationText(v.GetConfirmed()), fmt.Sprint(resp.GetVersion())})
		}
		return o.write(s.out, resp, row{"DATA CENTRE", "IN FORCE", "VERSION"}, rows)
	})
	r.flags(c)
	r.operatorFlag(c)
	o.flags(c)
	c.sub.AddPositionalValue(&kind, "kind", 1, true, "data-centre or host")
	c.sub.AddPositionalValue(&target, "name", 2, true, "its name")
	return c
}

func confirmationText(confirmed bool) string {
	if confirmed {
		return "yes"
	}
	return "not confirmed"
}

func drainCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.DrainRequest]) (*connect.Response[schema.DrainResponse], error) {
	return c.Drain
}
