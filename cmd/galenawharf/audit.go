package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newAudit() *command {
	var r remote
	var o output
	var from int64
	limit := 50
	c := newCommand("audit", "lists changes: who, when, from which value to which, accepted or refused",
		"galenawharf audit --from 120 --limit 10",
		func(s streams) error {
			resp, err := call(&r, &schema.AuditRequest{FromOffset: from, Limit: int32(limit)}, auditCall)
			if err != nil {
				return err
			}
			rows := make([]row, 0, len(resp.GetEntries()))
			for _, e := range resp.GetEntries() {
				rows = append(rows, auditRow(e))
			}
			return o.write(s.out, resp, row{"OFFSET", "AT", "OPERATOR", "ITEM", "RESULT", "FROM", "TO"}, rows)
		})
	r.flags(c)
	o.flags(c)
	c.sub.Int64(&from, "f", "from", "the first log offset; 0 for the newest entries")
	c.sub.Int(&limit, "l", "limit", "the most entries")
	return c
}

func auditRow(e *schema.AuditEntry) row {
	result := "accepted"
	if e.GetResultCode() != 0 {
		result = coder.Code(e.GetResultCode()).String()
	}
	return row{
		fmt.Sprint(e.GetOffset()), clock.Millis(e.GetAtMillis()).String(), e.GetOperator(),
		e.GetKind() + "/" + e.GetName(), result, e.GetFrom(), e.GetTo(),
	}
}

func auditCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.AuditRequest]) (*connect.Response[schema.AuditResponse], error) {
	return c.Audit
}
