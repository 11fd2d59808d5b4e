package auditor

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// TestTrail checks the entries of accepted changes and of one with a stale version, and
// that only the newest entries are kept.
func TestTrail(t *testing.T) {
	tr := New(3)
	s := declarer.NewState()
	change := func(offset int64, expected int64, budget string) {
		c := &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{Kind: "team", Name: "a", ExpectedVersion: expected, Document: []byte(`{"name":"a","budget":` + budget + `}`)}}}
		var o declarer.Outcome
		s, o = s.Apply(offset, c)
		tr.Add(provider.Offset(offset), 1000, c, o.Previous(), o.Err())
	}
	change(0, 0, "1")
	change(1, 0, "2")
	change(2, 1, "3")
	must.Len(t, 3, tr.EntriesFrom(0, 10))
	stale := tr.EntriesFrom(1, 1)[0]
	must.Eq(t, int32(coder.StaleVersion), stale.GetResultCode())
	must.Eq(t, "ana", stale.GetOperator())
	must.StrContains(t, stale.GetFrom(), `"budget":1`)
	must.StrContains(t, stale.GetTo(), `"budget":2`)
	last := tr.Newest(1)[0]
	must.Eq(t, int32(coder.OK), last.GetResultCode())
	must.StrContains(t, last.GetFrom(), `"budget":1`)

	change(3, 3, "4")
	must.Len(t, 3, tr.EntriesFrom(0, 10))
	must.Eq(t, int64(1), tr.EntriesFrom(0, 1)[0].GetOffset())
	c, known := tr.ResultOf(3)
	must.True(t, known)
	must.Eq(t, coder.OK, c)
	_, known = tr.ResultOf(9)
	must.False(t, known)
}
