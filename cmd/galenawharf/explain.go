package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/demonstrator"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newExplain() *command {
	var r remote
	var o output
	var q schema.ExplainRequest
	against := "last-month"
	c := newCommand("explain", "explains why a month's bill differs from another",
		"galenawharf explain --month 2027-01 --against last-month",
		func(s streams) error {
			got, err := ask(&r, &schema.ExplainRequest{Month: q.Month, Against: against}, explainCall)
			if err != nil {
				return err
			}
			if err := o.write(s.out, got, row{"CAUSE", "OF", "AMOUNT", "RECORDS"}, explainRows(got)); err != nil || o.form == formJSON {
				return err
			}
			for _, l := range got.GetLeftOut() {
				_, _ = fmt.Fprintf(s.out, "left out: %s\n", l)
			}
			return nil
		})
	r.flags(c)
	o.flags(c)
	c.sub.String(&q.Month, "m", "month", "a month, such as 2027-01; the next one where left out")
	c.sub.String(&against, "g", "against", "last-month, last-forecast or plan")
	return c
}

func explainRows(e *schema.ExplainResponse) []row {
	rows := []row{{"from", "", demonstrator.Money(e.GetFromMinor()), ""}}
	for _, c := range e.GetCauses() {
		rows = append(rows, row{c.GetKind(), c.GetName(), demonstrator.Money(c.GetAmountMinor()), offsets(c.GetOffsets())})
	}
	return append(rows, row{"to", e.GetMonth() + " in " + e.GetCurrency(), demonstrator.Money(e.GetToMinor()), ""})
}

const maxOffsetsShown = 5

func offsets(all []int64) string {
	shown := make([]string, 0, maxOffsetsShown+1)
	for _, o := range all[:min(len(all), maxOffsetsShown)] {
		shown = append(shown, strconv.FormatInt(o, 10))
	}
	if more := len(all) - maxOffsetsShown; more > 0 {
		shown = append(shown, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(shown, " ")
}

func explainCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ExplainRequest]) (*connect.Response[schema.ExplainResponse], error) {
	return c.Explain
}
