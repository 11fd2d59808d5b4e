package keeper

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/looplab/fsm"
	"github.com/shoenig/test/must"
)

// TestStateTransitions applies every event to every state of tasks and leases. Allowed
// events must lead to the state in the table, others must leave the state unchanged. The
// design page must list the same transitions.
func TestStateTransitions(t *testing.T) {
	page, err := os.ReadFile("../docs/design/leases.md")
	must.NoError(t, err)
	tests := map[string]struct {
		initial string
		table   fsm.Events
		rows    int
	}{
		"task":  {initial: stateWaiting, table: taskTransitions, rows: 13},
		"lease": {initial: phasePlanned, table: leaseTransitions, rows: 18},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := newStateMachine(tc.initial, tc.table)
			want := map[string]string{}
			states := map[string]bool{}
			for _, e := range tc.table {
				states[e.Dst] = true
				for _, from := range e.Src {
					states[from] = true
					want[from+" "+e.Name] = e.Dst
					must.StrContains(t, string(page), fmt.Sprintf("| %s | %s | %s |", from, e.Name, e.Dst))
				}
			}
			must.MapLen(t, tc.rows, want)
			for s := range states {
				for _, e := range tc.table {
					to, allowed := want[s+" "+e.Name]
					got, ok := l.next(s, e.Name)
					must.Eq(t, allowed, ok)
					if allowed {
						must.Eq(t, to, got)
					} else {
						must.Eq(t, s, got)
					}
				}
			}
		})
	}
	must.Eq(t, 31, countRows(string(page)))
}

// countRows returns the number of rows in the two tables of the page.
func countRows(page string) int {
	n := 0
	for _, line := range strings.Split(page, "\n") {
		if strings.Count(line, "|") == 4 && !strings.Contains(line, "---") && !strings.Contains(line, "| from |") {
			n++
		}
	}
	return n
}
