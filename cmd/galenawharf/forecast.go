package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

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
		rows = append(rows, row{l.GetName(), money(l.GetToDateMinor()), money(l.GetP10Minor()), money(l.GetP50Minor()), money(l.GetP90Minor())})
	}
	total := fmt.Sprintf("%s, all, in %s", f.GetMonth(), f.GetCurrency())
	return append(rows, row{total, money(f.GetToDateMinor()), money(f.GetP10Minor()), money(f.GetP50Minor()), money(f.GetP90Minor())})
}

// money shows an amount in the smallest unit as one of the unit of a hundred.
func money(minor int64) string {
	sign := ""
	if minor < 0 {
		sign = "-"
		minor = -minor
	}
	return fmt.Sprintf("%s%d.%02d", sign, minor/100, minor%100)
}

func forecastCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ForecastRequest]) (*connect.Response[schema.ForecastResponse], error) {
	return c.Forecast
}
