// Package reporter renders forecasts and explanations of the bill: as text tables, JSON,
// CSV for spreadsheets, and a self-contained HTML page. Its input are messages of the
// schema, so the output doesn't depend on the daemon that made them.
package reporter

import (
	"fmt"
	"io"
	"unicode/utf8"

	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

type (
	// table is a text table whose first row is the header. The first column is
	// left-aligned, the others are right-aligned.
	table struct {
		rows [][]string
	}
)

const (
	columnGap = 2
)

func (t *table) add(name string, cells ...string) {
	t.rows = append(t.rows, append([]string{name}, cells...))
}

func (t *table) write(w io.Writer) {
	var widths []int
	for _, row := range t.rows {
		for n, c := range row {
			if n == len(widths) {
				widths = append(widths, 0)
			}
			widths[n] = max(widths[n], utf8.RuneCountInString(c))
		}
	}
	for _, row := range t.rows {
		_, _ = fmt.Fprintf(w, "%-*s", widths[0], row[0])
		for n, c := range row[1:] {
			_, _ = fmt.Fprintf(w, "%*s", columnGap+widths[n+1], c)
		}
		_, _ = fmt.Fprintln(w)
	}
}

// ForecastTable writes a forecast as a text table, followed by the parts of the cost to
// date, budget alerts, and what is missing or estimated. Write errors are ignored.
func ForecastTable(w io.Writer, r *schema.ForecastResponse) {
	_, _ = fmt.Fprintf(w, "%s, in %s\n\n", r.GetMonth(), r.GetCurrency())
	t := &table{}
	t.add(r.GetBy(), "to date", "P10", "P50", "P90")
	for _, l := range r.GetLines() {
		t.add(displayName(l.GetName()), forecastCells(r, l.GetToDateMinor(), l.GetP10Minor(), l.GetP50Minor(), l.GetP90Minor())...)
	}
	t.add("total", forecastCells(r, r.GetToDateMinor(), r.GetP10Minor(), r.GetP50Minor(), r.GetP90Minor())...)
	t.write(w)
	writeList(w, "To date went for", partTexts(r))
	writeList(w, "Budgets", r.GetAlerts())
	writeList(w, "Left out, or taken for what is missing", r.GetLeftOut())
}

// ExplainTable writes an explanation as a text table of its causes, followed by what is
// missing or estimated. Write errors are ignored.
func ExplainTable(w io.Writer, r *schema.ExplainResponse) {
	c := r.GetCurrency()
	_, _ = fmt.Fprintf(w, "%s against %s, in %s\n\n", r.GetMonth(), r.GetAgainst(), c)
	t := &table{}
	t.add("cause", "amount", "usage offsets", "config offsets")
	t.add("was", pricer.Grouped(r.GetFromMinor(), c), "", "")
	for _, x := range r.GetCauses() {
		t.add(x.GetKind()+" of "+displayName(x.GetName()), pricer.Signed(x.GetAmountMinor(), c), joinOffsets(x.GetOffsets()), joinOffsets(x.GetConfigOffsets()))
	}
	t.add("is", pricer.Grouped(r.GetToMinor(), c), "", "")
	t.write(w)
	writeList(w, "Left out, or taken for what is missing", r.GetLeftOut())
}

func forecastCells(r *schema.ForecastResponse, amounts ...int64) []string {
	cells := make([]string, 0, len(amounts))
	for _, a := range amounts {
		cells = append(cells, pricer.Grouped(a, r.GetCurrency()))
	}
	return cells
}

func partTexts(r *schema.ForecastResponse) []string {
	var texts []string
	for _, p := range r.GetParts() {
		texts = append(texts, p.GetName()+" "+pricer.Grouped(p.GetAmountMinor(), r.GetCurrency()))
	}
	return texts
}

func writeList(w io.Writer, title string, items []string) {
	if len(items) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s:\n", title)
	for _, i := range items {
		_, _ = fmt.Fprintf(w, "  %s\n", i)
	}
}

// displayName returns the name of a line, or a placeholder if it is empty, such as the
// team of work that nobody owns.
func displayName(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

func joinOffsets(all []int64) string {
	text := ""
	for n, o := range all {
		if n > 0 {
			text += " "
		}
		text += fmt.Sprint(o)
	}
	return text
}
