package main

import (
	"context"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/reporter"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newExplain() *command {
	var r remote
	var q schema.ExplainRequest
	var files []string
	against, format := "last-month", formatTable
	c := newCommand("explain", "explains why a month's bill differs from another, or what a change would make of it",
		"galenawharf explain --month 2027-01 --against last-month",
		func(s streams) error {
			return explain(s, &r, &schema.ExplainRequest{Month: q.Month, Against: against}, files, format)
		})
	r.flags(c)
	c.sub.String(&format, "o", "output", "form of the explanation: table, json or csv")
	c.sub.String(&q.Month, "m", "month", "a month, such as 2027-01; the next one where left out")
	c.sub.String(&against, "g", "against", "last-month, last-forecast or plan")
	c.sub.StringSlice(&files, "w", "what-if", "a file of declarations that are not applied; may be given again")
	return c
}

func explain(s streams, r *remote, q *schema.ExplainRequest, files []string, format string) error {
	if len(files) > 0 {
		steps, err := computePlan(r, files, false)
		if err != nil {
			return err
		}
		q.WhatIf = declarer.ChangeOf(r.operator, steps).GetItems()
	}
	resp, err := call(r, q, explainCall)
	if err != nil {
		return err
	}
	switch format {
	case formatJSON:
		return reporter.JSON(s.out, resp)
	case formatCSV:
		return reporter.ExplainCSV(s.out, resp)
	case formatTable:
		reporter.ExplainTable(s.out, resp)
		return nil
	}
	return unsupportedFormat(format)
}

func explainCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ExplainRequest]) (*connect.Response[schema.ExplainResponse], error) {
	return c.Explain
}
