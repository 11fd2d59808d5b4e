package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/demonstrator"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newForecast() *command {
	var r remote
	var o output
	var q schema.ForecastRequest
	by := "team"
	c := newCommand("forecast", "forecasts a month's bill, with the range that it will most likely be in",
		"galenawharf forecast --month 2027-01 --by work",
		func(s streams) error {
			got, err := ask(&r, &schema.ForecastRequest{Month: q.Month, By: by}, forecastCall)
			if err != nil {
				return err
			}
			if err := o.write(s.out, got, row{"NAME", "TO DATE", "P10", "P50", "P90"}, forecastRows(got)); err != nil || o.form == formJSON {
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
	c.sub.String(&by, "b", "by", "team, work, data-centre or resource")
	return c
}

func forecastRows(f *schema.ForecastResponse) []row {
	rows := make([]row, 0, len(f.GetLines())+1)
	for _, l := range f.GetLines() {
		rows = append(rows, row{l.GetName(), demonstrator.Money(l.GetToDateMinor()), demonstrator.Money(l.GetP10Minor()), demonstrator.Money(l.GetP50Minor()), demonstrator.Money(l.GetP90Minor())})
	}
	total := fmt.Sprintf("%s, all, in %s", f.GetMonth(), f.GetCurrency())
	return append(rows, row{total, demonstrator.Money(f.GetToDateMinor()), demonstrator.Money(f.GetP10Minor()), demonstrator.Money(f.GetP50Minor()), demonstrator.Money(f.GetP90Minor())})
}

func forecastCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ForecastRequest]) (*connect.Response[schema.ForecastResponse], error) {
	return c.Forecast
}
