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
	// Page is what a page of the bill shows. Every forecast is of the same
	// month, each by another grouping.
	Page struct {
		// Title names the operator.
		Title     string
		Made      string
		Forecasts []*schema.ForecastResponse
		Explains  []*schema.ExplainResponse
	}

	// view is a page with its plots.
	view struct {
		Page
		First  *schema.ForecastResponse
		Month  template.HTML
		Groups []group
		Whys   []why
	}

	group struct {
		Forecast *schema.ForecastResponse
		Plot     template.HTML
	}

	why struct {
		Explain *schema.ExplainResponse
		Plot    template.HTML
	}
)

var (
	//go:embed page.html
	pageText string

	pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
		"money": pricer.Grouped, "signed": pricer.Signed, "name": nameOf, "offsets": offsets,
		"minus": func(a, b int64) int64 { return a - b },
	}).Parse(pageText))
)

// HTML writes a page that needs nothing besides itself.
func HTML(w io.Writer, p Page) error {
	if len(p.Forecasts) == 0 {
		return errors.New("page: there is no forecast to show")
	}
	v := view{Page: p, First: p.Forecasts[0]}
	var err error
	if v.Month, err = monthPlot(v.First); err != nil {
		return err
	}
	for _, f := range p.Forecasts {
		plot, err := linesPlot(f)
		if err != nil {
			return err
		}
		v.Groups = append(v.Groups, group{Forecast: f, Plot: plot})
	}
	for _, x := range p.Explains {
		plot, err := causesPlot(x)
		if err != nil {
			return err
		}
		v.Whys = append(v.Whys, why{Explain: x, Plot: plot})
	}
	return errors.Wrap(pageTemplate.Execute(w, v), "page")
}
