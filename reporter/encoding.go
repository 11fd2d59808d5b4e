package reporter

import (
	"encoding/csv"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

// JSON writes a forecast or explanation as indented JSON, with the field names of the
// schema.
func JSON(w io.Writer, m proto.Message) error {
	data, err := protojson.MarshalOptions{Indent: "  ", EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "marshal report as JSON")
	}
	_, err = w.Write(append(data, '\n'))
	return errors.Wrap(err, "write report as JSON")
}

// ForecastCSV writes a forecast as CSV for spreadsheets: a row for each group and one for
// the total. Amounts are in the currency's main unit, with its decimals.
func ForecastCSV(w io.Writer, r *schema.ForecastResponse) error {
	rows := [][]string{{"month", "currency", r.GetBy(), "to-date", "p10", "p50", "p90"}}
	row := func(name string, amounts ...int64) {
		cells := []string{r.GetMonth(), r.GetCurrency(), escapeFormula(name)}
		for _, a := range amounts {
			cells = append(cells, pricer.Plain(a, r.GetCurrency()))
		}
		rows = append(rows, cells)
	}
	for _, l := range r.GetLines() {
		row(displayName(l.GetName()), l.GetToDateMinor(), l.GetP10Minor(), l.GetP50Minor(), l.GetP90Minor())
	}
	row("total", r.GetToDateMinor(), r.GetP10Minor(), r.GetP50Minor(), r.GetP90Minor())
	return writeCSV(w, rows)
}

// ExplainCSV writes an explanation as CSV for spreadsheets: a row "was" for the baseline,
// a row for each cause, and a row "is" for the explained cost.
func ExplainCSV(w io.Writer, r *schema.ExplainResponse) error {
	c := r.GetCurrency()
	rows := [][]string{{"month", "currency", "against", "cause", "work", "amount", "usage-offsets", "config-offsets"}}
	row := func(kind, work, amount, usage, config string) {
		rows = append(rows, []string{r.GetMonth(), c, r.GetAgainst(), kind, escapeFormula(work), amount, usage, config})
	}
	row("was", "", pricer.Plain(r.GetFromMinor(), c), "", "")
	for _, x := range r.GetCauses() {
		row(x.GetKind(), x.GetName(), pricer.Plain(x.GetAmountMinor(), c), joinOffsets(x.GetOffsets()), joinOffsets(x.GetConfigOffsets()))
	}
	row("is", "", pricer.Plain(r.GetToMinor(), c), "", "")
	return writeCSV(w, rows)
}

// escapeFormula prefixes a name that a spreadsheet would evaluate as a formula with an
// apostrophe, against CSV injection.
func escapeFormula(name string) string {
	if name != "" && (name[0] == '=' || name[0] == '+' || name[0] == '-' || name[0] == '@') {
		return "'" + name
	}
	return name
}

func writeCSV(w io.Writer, rows [][]string) error {
	return errors.Wrap(csv.NewWriter(w).WriteAll(rows), "write report as CSV")
}
