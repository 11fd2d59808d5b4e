package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newGet() *command {
	var r remote
	var o output
	var q schema.GetRequest
	c := newCommand("get", "lists declarations in force and the state of their work",
		"galenawharf get service fault-reporting",
		func(s streams) error {
			resp, err := call(&r, &schema.GetRequest{Kind: q.Kind, Name: q.Name}, getCall)
			if err != nil {
				return err
			}
			rows := make([]row, 0, len(resp.GetItems()))
			for _, i := range resp.GetItems() {
				rows = append(rows, row{i.GetKind(), i.GetName(), fmt.Sprint(i.GetVersion()), i.GetState(), i.GetDocument()})
			}
			return o.write(s.out, resp, row{"KIND", "NAME", "VERSION", "STATE", "DOCUMENT"}, rows)
		})
	r.flags(c)
	o.flags(c)
	c.sub.AddPositionalValue(&q.Kind, "kind", 1, false, "a kind, such as service; all where left out")
	c.sub.AddPositionalValue(&q.Name, "name", 2, false, "a name; all where left out")
	return c
}

func getCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.GetRequest]) (*connect.Response[schema.GetResponse], error) {
	return c.Get
}
