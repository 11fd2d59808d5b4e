package reporter

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Page is the input of HTML. All forecasts are of the same month, each grouped
	// differently.
	Page struct {
		// Title is the name of the operator.
		Title string
		// Made is the time of creation, as it is shown on the page.
		Made         string
		Forecasts    []*schema.ForecastResponse
		Explanations []*schema.ExplainResponse
	}

	// pageData is the data of the template: a page and its plots.
	pageData struct {
		Page
		First       *schema.ForecastResponse
		Month       template.HTML
		Groups      []group
		Differences []difference
	}

	// group is a forecast, grouped in one way, with its plot.
	group struct {
		Forecast *schema.ForecastResponse
		Plot     template.HTML
	}

	// difference is an explanation with its plot.
	difference struct {
		Explain *schema.ExplainResponse
		Plot    template.HTML
	}
)

var (
	//go:embed page.html
	pageText string

	pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
		"money": pricer.Grouped, "signed": pricer.Signed, "name": displayName, "offsets": joinOffsets,
		"minus": func(a, b int64) int64 { return a - b },
	}).Parse(pageText))
)

// HTML writes a self-contained page, without references to other files. It returns an
// error if the page has no forecast.
func HTML(w io.Writer, p Page) error {
	if len(p.Forecasts) == 0 {
		return errors.New("HTML report has no forecast to show")
	}
	v := pageData{Page: p, First: p.Forecasts[0]}
	var err error
	if v.Month, err = monthPlot(v.First); err != nil {
		return err
	}
	for _, f := range p.Forecasts {
		plot, err := groupsPlot(f)
		if err != nil {
			return err
		}
		v.Groups = append(v.Groups, group{Forecast: f, Plot: plot})
	}
	for _, x := range p.Explanations {
		plot, err := causesPlot(x)
		if err != nil {
			return err
		}
		v.Differences = append(v.Differences, difference{Explain: x, Plot: plot})
	}
	return errors.Wrap(pageTemplate.Execute(w, v), "write HTML report")
}
