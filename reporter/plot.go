package reporter

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// moneyTicks is the plot.Ticker of an axis of amounts in the smallest unit of the
	// currency. It labels them with the formatted amount.
	moneyTicks struct {
		currency string
	}

	// dayTicks is the plot.Ticker of an axis of days. It has a tick for each day and
	// labels the first and every dayLabelInterval-th one.
	dayTicks struct{}
)

const (
	plotWidth        = 18 * vg.Centimeter
	plotHeight       = 8 * vg.Centimeter
	barHeight        = 0.75 * vg.Centimeter
	barMargin        = 2 * vg.Centimeter
	maxBars          = 12
	fontSize         = 9
	dayLabelInterval = 5
	barFillRatio     = 0.6
	lineWidth        = 2

	legendPadding = 2
)

var (
	bandColour     = color.NRGBA{R: 0x9e, G: 0xc5, B: 0xe8, A: 0xff}
	lineColour     = color.NRGBA{R: 0x1f, G: 0x5f, B: 0x99, A: 0xff}
	toDateColour   = color.NRGBA{R: 0x22, G: 0x2b, B: 0x33, A: 0xff}
	increaseColour = color.NRGBA{R: 0xc2, G: 0x4d, B: 0x2c, A: 0xff}
	decreaseColour = color.NRGBA{R: 0x3a, G: 0x7d, B: 0x44, A: 0xff}
	gridColour     = color.NRGBA{R: 0xd9, G: 0xde, B: 0xe3, A: 0xff}
)

// Ticks returns the default ticks, labelled with amounts of money.
func (m moneyTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for n, t := range ticks {
		if t.Label != "" {
			ticks[n].Label = pricer.Grouped(int64(math.Round(t.Value)), m.currency)
		}
	}
	return ticks
}

// Ticks returns a tick for each day.
func (dayTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for d := math.Max(1, math.Ceil(low)); d <= high; d++ {
		t := plot.Tick{Value: d}
		if d == 1 || int(d)%dayLabelInterval == 0 {
			t.Label = strconv.Itoa(int(d))
		}
		ticks = append(ticks, t)
	}
	return ticks
}

func newPlot() *plot.Plot {
	p := plot.New()
	sans := font.Font{Typeface: "Liberation", Variant: "Sans", Size: fontSize}
	p.X.Label.TextStyle.Font = sans
	p.Y.Label.TextStyle.Font = sans
	p.X.Tick.Label.Font = sans
	p.Y.Tick.Label.Font = sans
	p.Legend.TextStyle.Font = sans
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = legendPadding
	grid := plotter.NewGrid()
	grid.Vertical.Color = gridColour
	grid.Horizontal.Color = gridColour
	p.Add(grid)
	return p
}

// monthPlot returns an SVG plot of the cumulative cost over the days of the month, with
// the expected cost and the band from P10 to P90 for the days to come.
func monthPlot(r *schema.ForecastResponse) (template.HTML, error) {
	p := newPlot()
	p.X.Label.Text = "day of the month"
	p.Y.Label.Text = r.GetCurrency()
	p.X.Tick.Marker = dayTicks{}
	p.Y.Tick.Marker = moneyTicks{r.GetCurrency()}
	p.Y.Min = 0
	toDate, expected, low, high := dailyCurves(r.GetDays())
	if err := addBand(p, low, high); err != nil {
		return "", err
	}
	if err := addLine(p, "expected", expected, lineColour, true); err != nil {
		return "", err
	}
	if err := addLine(p, "to date", toDate, toDateColour, false); err != nil {
		return "", err
	}
	return svg(p, plotWidth, plotHeight)
}

// dailyCurves returns the cumulative cost of the known days, and the P50, P10 and P90 of
// the cumulative cost on the days to come. The three forecast curves begin at the last
// known point, so that they connect to the known cost.
func dailyCurves(days []*schema.ForecastDay) (toDate, expected, low, high plotter.XYs) {
	toDate = plotter.XYs{{X: 0, Y: 0}}
	for n, d := range days {
		if d.GetKnown() {
			toDate = append(toDate, plotter.XY{X: float64(n + 1), Y: float64(d.GetP50Minor())})
			continue
		}
		if len(expected) == 0 {
			last := toDate[len(toDate)-1]
			expected, low, high = plotter.XYs{last}, plotter.XYs{last}, plotter.XYs{last}
		}
		expected = append(expected, plotter.XY{X: float64(n + 1), Y: float64(d.GetP50Minor())})
		low = append(low, plotter.XY{X: float64(n + 1), Y: float64(d.GetP10Minor())})
		high = append(high, plotter.XY{X: float64(n + 1), Y: float64(d.GetP90Minor())})
	}
	return toDate, expected, low, high
}

func addBand(p *plot.Plot, low, high plotter.XYs) error {
	if len(low) < 2 {
		return nil
	}
	outline := append(plotter.XYs{}, high...)
	for n := len(low) - 1; n >= 0; n-- {
		outline = append(outline, low[n])
	}
	band, err := plotter.NewPolygon(outline)
	if err != nil {
		return errors.Wrap(err, "plot band from P10 to P90")
	}
	band.Color = bandColour
	band.Width = 0
	p.Add(band)
	p.Legend.Add("P10 to P90", band)
	return nil
}

func addLine(p *plot.Plot, name string, xys plotter.XYs, c color.Color, dashed bool) error {
	if len(xys) < 2 {
		return nil
	}
	line, err := plotter.NewLine(xys)
	if err != nil {
		return errors.Wrap(err, name)
	}
	line.Color = c
	line.Width = lineWidth
	if dashed {
		line.Dashes = []vg.Length{4, 3}
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// svg renders a plot as an SVG element that can be embedded in a page, without an XML
// declaration.
func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "render plot as SVG")
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
