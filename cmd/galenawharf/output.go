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
	// output holds the --output flag of a command that lists items.
	output struct {
		format string
	}

	// row is a line of a table, one string a column.
	row []string
)

const (
	formatTable = "table"
	formatJSON  = "json"
	formatCSV   = "csv"
	formatHTML  = "html"
)

func (o *output) flags(c *command) {
	o.format = formatTable
	c.sub.String(&o.format, "o", "output", "form of the list: table or json")
}

// write writes the message as JSON, or its rows below the header as a table.
func (o *output) write(w io.Writer, m proto.Message, header row, rows []row) error {
	switch o.format {
	case formatJSON:
		data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(w, string(data))
		return err
	case formatTable:
		return writeTable(w, header, rows)
	}
	return unsupportedFormat(o.format)
}

func unsupportedFormat(format string) error {
	return coder.At(coder.Usage, "--output", "%q is not an output format of this command", format)
}

func writeTable(w io.Writer, header row, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range append([]row{header}, rows...) {
		_, _ = fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}
