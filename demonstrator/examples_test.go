package demonstrator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/declarer"
)

// TestExamplesAreValid checks that the settings in the examples parse, and that the
// example and demo declarations parse and can be applied to an empty configuration.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.json")
	must.NoError(t, err)
	demoFiles, err := filepath.Glob("declarations/*.json")
	must.NoError(t, err)
	must.Len(t, 16, files)
	for _, f := range append(files, demoFiles...) {
		t.Run(f, func(t *testing.T) {
			data, err := os.ReadFile(f)
			must.NoError(t, err)
			if strings.Contains(filepath.Base(f), "entry") {
				_, faults := configurer.Parse(data)
				must.NoError(t, faults.Err())
				return
			}
			items, faults := declarer.ParseFile(data)
			must.NoError(t, faults.Err())
			change := declarer.ChangeOf("test", declarer.Plan(nil, items, false))
			must.NoError(t, declarer.NewState().Check(change).Err())
		})
	}
}
