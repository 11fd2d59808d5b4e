package logger

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDocsListEveryEvent(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	must.NoError(t, err)
	source := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		number := v.Values[0].(*ast.CompositeLit).Elts[0].(*ast.BasicLit).Value
		must.MapNotContainsKey(t, source, number)
		source[number] = v.Names[0].Name
		return true
	})
	page, err := os.ReadFile("../docs/EVENTS.md")
	must.NoError(t, err)
	rows := map[string]string{}
	for _, m := range regexp.MustCompile(`(?m)^\| GE(\d{4}) \| (\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		rows[m[1]] = m[2]
	}
	must.Eq(t, source, rows)
}

func TestEmit(t *testing.T) {
	tests := map[string]struct {
		level string
		event Event
		lines int
	}{
		"at level":    {level: "info", event: Started, lines: 1},
		"below level": {level: "warn", event: Started},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			l, err := New(&b, tc.level, String("daemon", "entry-1"))
			must.NoError(t, err)
			l.Emit(tc.event, Int("offset", 3))
			must.Eq(t, tc.lines, bytes.Count(b.Bytes(), []byte("\n")))
			if tc.lines == 0 {
				return
			}
			var line struct {
				Message string         `json:"message"`
				Fields  map[string]any `json:"fields"`
			}
			must.NoError(t, json.Unmarshal(b.Bytes(), &line))
			must.Eq(t, "daemon started", line.Message)
			must.Eq(t, map[string]any{"event": "GE1001", "daemon": "entry-1", "offset": 3.0}, line.Fields)
		})
	}
}
