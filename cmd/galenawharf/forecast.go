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
	by, form := "team", formTable
	c := newCommand("forecast", "forecasts a month's bill, with the range that it will most likely be in",
		"galenawharf forecast --month 2027-01 --by work",
		func(s streams) error { return forecast(s, &r, month, by, form) })
	r.flags(c)
	c.sub.String(&form, "o", "output", "form of the forecast: table, json, csv or html")
	c.sub.String(&month, "m", "month", "a month, such as 2027-01; the next one where left out")
	c.sub.String(&by, "b", "by", "team, work, data-centre or resource; a page of html has them all")
	return c
}

func forecast(s streams, r *remote, month, by, form string) error {
	if form == formHTML {
		return forecastPage(s, r, month)
	}
	got, err := ask(r, &schema.ForecastRequest{Month: month, By: by}, forecastCall)
	if err != nil {
		return err
	}
	switch form {
	case formJSON:
		return reporter.JSON(s.out, got)
	case formCSV:
		return reporter.ForecastCSV(s.out, got)
	case formTable:
		reporter.ForecastTable(s.out, got)
		return nil
	}
	return wrongForm(form)
}

// forecastPage writes a page of the month that can be opened by itself.
func forecastPage(s streams, r *remote, month string) error {
	p := reporter.Page{Made: clock.System().String()}
	for _, by := range []string{"team", "work", "data-centre", "resource"} {
		got, err := ask(r, &schema.ForecastRequest{Month: month, By: by}, forecastCall)
		if err != nil {
			return err
		}
		p.Forecasts = append(p.Forecasts, got)
	}
	for _, against := range []string{"last-month", "plan"} {
		got, err := ask(r, &schema.ExplainRequest{Month: month, Against: against}, explainCall)
		if err != nil {
			return err
		}
		p.Explains = append(p.Explains, got)
	}
	operator, err := ask(r, &schema.GetRequest{Kind: "operator"}, getCall)
	if err != nil {
		return err
	}
	for _, i := range operator.GetItems() {
		p.Title = i.GetName()
	}
	return reporter.HTML(s.out, p)
}

func forecastCall(c schemaconnect.OperatorsClient) func(context.Context, *connect.Request[schema.ForecastRequest]) (*connect.Response[schema.ForecastResponse], error) {
	return c.Forecast
}
