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
	// barSegment is a filled part of a row, from one amount to another, both in the
	// smallest unit of the currency. The name of a row's first segment labels the row.
	barSegment struct {
		name   string
		from   float64
		to     float64
		colour color.Color
	}

	// barChart is a plot.Plotter of horizontal bars, one row below the other. The
	// segments of a row are drawn over each other.
	barChart struct {
		rows [][]barSegment
	}
)

// groupsPlot returns a bar chart of the cost of each group, to date and expected, as SVG.
// It shows at most maxBars groups.
func groupsPlot(r *schema.ForecastResponse) (template.HTML, error) {
	b := &barChart{}
	for n, l := range r.GetLines() {
		if n == maxBars {
			break
		}
		b.rows = append(b.rows, []barSegment{
			{name: displayName(l.GetName()), to: float64(l.GetP50Minor()), colour: bandColour},
			{to: float64(l.GetToDateMinor()), colour: toDateColour},
		})
	}
	return b.svg(r.GetCurrency())
}

// causesPlot returns a bar chart of the maxBars largest causes of a difference as SVG.
func causesPlot(r *schema.ExplainResponse) (template.HTML, error) {
	b := &barChart{}
	for n, c := range r.GetCauses() {
		if n == maxBars {
			break
		}
		colour := increaseColour
		if c.GetAmountMinor() < 0 {
			colour = decreaseColour
		}
		b.rows = append(b.rows, []barSegment{{name: c.GetKind() + " of " + displayName(c.GetName()), to: float64(c.GetAmountMinor()), colour: colour}})
	}
	return b.svg(r.GetCurrency())
}

func (b *barChart) svg(currency string) (template.HTML, error) {
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

// Plot implements plot.Plotter.
func (b *barChart) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for n, row := range b.rows {
		middle := y(float64(len(b.rows) - 1 - n))
		for _, r := range row {
			half := vg.Length(barFillRatio) * barHeight / 2
			c.FillPolygon(r.colour, c.ClipPolygonX([]vg.Point{
				{X: x(r.from), Y: middle - half}, {X: x(r.to), Y: middle - half},
				{X: x(r.to), Y: middle + half}, {X: x(r.from), Y: middle + half},
			}))
		}
	}
}

// DataRange implements plot.DataRanger. Each row is 1 high, centred on a whole number.
func (b *barChart) DataRange() (xmin, xmax, ymin, ymax float64) {
	for _, row := range b.rows {
		for _, r := range row {
			xmin, xmax = min(xmin, r.from, r.to), max(xmax, r.from, r.to)
		}
	}
	return xmin, xmax, -0.5, float64(len(b.rows)) - 0.5
}
