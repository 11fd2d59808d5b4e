package reporter

import (
	"html/template"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"galenawharf.example/galenawharf/schema"
)

type (
	// bar is one line of a plot of bars.
	bar struct {
		name   string
		from   float64
		to     float64
		colour color.Color
	}

	// bars draws bars from top to bottom; overlaid ones have the same row.
	bars struct {
		rows [][]bar
	}
)

// linesPlot shows what each group costs, to date and expected.
func linesPlot(r *schema.ForecastResponse) (template.HTML, error) {
	b := &bars{}
	for n, l := range r.GetLines() {
		if n == maxBars {
			break
		}
		b.rows = append(b.rows, []bar{
			{name: nameOf(l.GetName()), to: float64(l.GetP50Minor()), colour: bandColour},
			{to: float64(l.GetToDateMinor()), colour: knownColour},
		})
	}
	return b.svg(r.GetCurrency())
}

// causesPlot shows the largest causes of a difference.
func causesPlot(r *schema.ExplainResponse) (template.HTML, error) {
	b := &bars{}
	for n, c := range r.GetCauses() {
		if n == maxBars {
			break
		}
		colour := dearerColour
		if c.GetAmountMinor() < 0 {
			colour = saverColour
		}
		b.rows = append(b.rows, []bar{{name: c.GetKind() + " of " + nameOf(c.GetName()), to: float64(c.GetAmountMinor()), colour: colour}})
	}
	return b.svg(r.GetCurrency())
}

func (b *bars) svg(currency string) (template.HTML, error) {
	if len(b.rows) == 0 {
		return "", nil
	}
	p := newPlot()
	p.X.Tick.Marker = moneyTicks{currency}
	p.X.Label.Text = currency
	var names []string
	for _, r := range b.rows {
		names = append(names, r[0].name)
	}
	slices.Reverse(names)
	p.Add(b)
	p.NominalY(names...)
	return svg(p, plotWidth, barMargin+vg.Length(len(b.rows))*barHeight)
}

// Plot draws the bars.
func (b *bars) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for n, row := range b.rows {
		middle := y(float64(len(b.rows) - 1 - n))
		for _, r := range row {
			half := vg.Length(barShare) * barHeight / 2
			c.FillPolygon(r.colour, c.ClipPolygonX([]vg.Point{
				{X: x(r.from), Y: middle - half}, {X: x(r.to), Y: middle - half},
				{X: x(r.to), Y: middle + half}, {X: x(r.from), Y: middle + half},
			}))
		}
	}
}

// DataRange gives the range of the bars.
func (b *bars) DataRange() (xmin, xmax, ymin, ymax float64) {
	for _, row := range b.rows {
		for _, r := range row {
			xmin, xmax = min(xmin, r.from, r.to), max(xmax, r.from, r.to)
		}
	}
	return xmin, xmax, -0.5, float64(len(b.rows)) - 0.5
}
