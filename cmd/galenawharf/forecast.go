package main

import (
	"context"

	"connectrpc.com/connect"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/reporter"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func newForecast() *command {
	var r remote
	var month string
	by, format := "team", formatTable
	c := newCommand("forecast", "forecasts a month's bill, with the range that it will most likely be in",
		"galenawharf forecast --month 2027-01 --by work",
		func(s streams) error { return forecast(s, &r, month, by, format) })
	r.flags(c)
	c.sub.String(&format, "o", "output", "form of the forecast: table, json, csv or html")
	c.sub.String(&month, "m", "month", "a month, such as 2027-01; the next one where left out")
	c.sub.String(&by, "b", "by", "team, work, data-centre or resource; a page of html has them all")
	return c
}

func forecast(s streams, r *remote, month, by, format string) error {
	if format == formatHTML {
		return forecastPage(s, r, month)
	}
	resp, err := call(r, &schema.ForecastRequest{Month: month, By: by}, forecastCall)
	if err != nil {
		return err
	}
	switch format {
	case formatJSON:
		return reporter.JSON(s.out, resp)
	case formatCSV:
		return reporter.ForecastCSV(s.out, resp)
	case formatTable:
		reporter.ForecastTable(s.out, resp)
		return nil
	}
	return unsupportedFormat(format)
}

// forecastPage writes a self-contained HTML page with the month's forecasts, grouped in
// every way, and their explanations.
func forecastPage(s streams, r *remote, month string) error {
	p := reporter.Page{Made: clock.System().String()}
	for _, by := range []string{"team", "work", "data-centre", "resource"} {
		resp, err := call(r, &schema.ForecastRequest{Month: month, By: by}, forecastCall)
		if err != nil {
			return err
		}
		p.Forecasts = append(p.Forecasts, resp)
	}
	for _, against := range []string{"last-month", "plan"} {
		resp, err := call(r, &schema.ExplainRequest{Month: month, Against: against}, explainCall)
		if err != nil {
			return err
		}
		p.Explanations = append(p.Explanations, resp)
	}
	operators, err := call(r, &schema.GetRequest{Kind: "operator"}, getCall)
	if err != nil {
		return err
	}
	for _, i := range operators.GetItems() {
		p.Title = i.GetName()
	}
	return reporter.HTML(s.out, p)
}

func forecastCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ForecastRequest]) (*connect.Response[schema.ForecastResponse], error) {
	return c.Forecast
}
