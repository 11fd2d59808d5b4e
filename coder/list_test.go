package coder

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// declaredCodes returns the names of the codes declared in codes.go, by number. It fails
// for a number that is used twice.
func declaredCodes(t *testing.T) map[int]string {
	f, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	must.NoError(t, err)
	found := map[int]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		number, err := strconv.Atoi(v.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, err)
		must.MapNotContainsKey(t, found, number)
		found[number] = v.Names[0].Name
		return true
	})
	return found
}

// TestListHasEveryCode guards against a new code that is not added to the list, which
// would have no counter in the metrics.
func TestListHasEveryCode(t *testing.T) {
	listed := map[int]bool{}
	for _, c := range Codes() {
		listed[int(c)] = true
	}
	d := declaredCodes(t)
	must.MapLen(t, len(listed), d)
	for n := range d {
		must.True(t, listed[n], must.Sprintf("%d is not listed", n))
	}
}

// TestDocsListEveryCode guards against codes that docs/CODES.md lacks, has under another
// name, or still has after they were removed.
func TestDocsListEveryCode(t *testing.T) {
	page, err := os.ReadFile("../docs/CODES.md")
	must.NoError(t, err)
	rows := map[int]string{}
	for _, m := range regexp.MustCompile(`(?m)^\| GW(\d{4}) \| (\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		must.NoError(t, err)
		rows[n] = m[2]
	}
	must.Eq(t, declaredCodes(t), rows)
}
