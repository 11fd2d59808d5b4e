package forwarder

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/scheduler"
)

func TestReplyOf(t *testing.T) {
	tests := map[string]struct {
		err  error
		verb Verb
		want Outcome
	}{
		"stored":                   {verb: Submit, want: OK},
		"no such job":              {err: scheduler.ErrUnknown, verb: Cancel, want: Unknown},
		"faulty job":               {err: errors.Wrap(scheduler.ErrInvalid, "no steps"), verb: Submit, want: Invalid},
		"id of another queue":      {err: scheduler.ErrConflict, verb: Submit, want: Invalid},
		"store away":               {err: conductor.ErrStoreAway, verb: Submit, want: Refused},
		"another may lead":         {err: conductor.ErrUnconfirmed, verb: Phase, want: Refused},
		"not stored in time":       {err: conductor.ErrUnclear, verb: Submit, want: Unclear},
		"cancel not stored":        {err: conductor.ErrUnclear, verb: Cancel, want: Unclear},
		"term over, submission":    {err: conductor.ErrOver, verb: Submit, want: Unclear},
		"term over, cancel":        {err: conductor.ErrOver, verb: Cancel, want: Unclear},
		"term over, question":      {err: conductor.ErrOver, verb: Phase, want: Refused},
		"anything else is no fate": {err: errors.New("x"), verb: Submit, want: Unclear},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, replyOf(tc.err, tc.verb, Reply{Outcome: OK}).Outcome)
		})
	}
}
