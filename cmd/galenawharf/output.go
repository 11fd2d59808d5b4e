package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
)

type (
	// output is the form in which a command lists things.
	output struct {
		form string
	}

	// row is one line of a table.
	row []string
)

const (
	formTable = "table"
	formJSON  = "json"
	formCSV   = "csv"
	formHTML  = "html"
)

func (o *output) flags(c *command) {
	o.form = formTable
	c.sub.String(&o.form, "o", "output", "form of the list: table or json")
}

// write writes the message as JSON, or its rows below a head as a table.
func (o *output) write(w io.Writer, m proto.Message, head row, rows []row) error {
	switch o.form {
	case formJSON:
		data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(w, string(data))
		return err
	case formTable:
		return table(w, head, rows)
	}
	return wrongForm(o.form)
}

func wrongForm(form string) error {
	return coder.At(coder.Usage, "--output", "%q is no form that this command writes", form)
}

func table(w io.Writer, head row, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range append([]row{head}, rows...) {
		_, _ = fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}
