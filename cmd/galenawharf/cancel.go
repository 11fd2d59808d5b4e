package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newCancel() *command {
	var r remote
	var key string
	c := newCommand("cancel", "ends submitted work, whether it waits or runs",
		"galenawharf cancel review-4711",
		func(s streams) error {
			resp, err := call(&r, &schema.CancelRequest{Operator: r.operator, Key: key}, cancelCall)
			if err != nil {
				return err
			}
			if err := resultError(resp.GetResultCode(), resp.GetReason()); err != nil {
				return err
			}
			_, err = fmt.Fprintf(s.out, "%s is cancelled\n", key)
			return err
		})
	r.flags(c)
	r.operatorFlag(c)
	c.sub.AddPositionalValue(&key, "key", 1, true, "the key that the work was submitted under")
	return c
}

func cancelCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.CancelRequest]) (*connect.Response[schema.CancelResponse], error) {
	return c.Cancel
}
