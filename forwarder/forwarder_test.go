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
		"stored":                    {verb: Submit, want: OK},
		"no such job":               {err: scheduler.ErrUnknown, verb: Cancel, want: Unknown},
		"invalid job":               {err: errors.Wrap(scheduler.ErrInvalid, "no steps"), verb: Submit, want: Invalid},
		"id used in another queue":  {err: scheduler.ErrConflict, verb: Submit, want: Invalid},
		"over the tenant's cap":     {err: errors.Wrap(scheduler.ErrOverCap, "step 0"), verb: Submit, want: Invalid},
		"store unavailable":         {err: conductor.ErrStoreUnavailable, verb: Submit, want: Refused},
		"another daemon may lead":   {err: conductor.ErrUnconfirmed, verb: Phase, want: Refused},
		"submission not stored yet": {err: conductor.ErrUnclear, verb: Submit, want: Unclear},
		"cancel not stored yet":     {err: conductor.ErrUnclear, verb: Cancel, want: Unclear},
		"term ended, submission":    {err: conductor.ErrTermEnded, verb: Submit, want: Unclear},
		"term ended, cancel":        {err: conductor.ErrTermEnded, verb: Cancel, want: Unclear},
		"term ended, read":          {err: conductor.ErrTermEnded, verb: Phase, want: Refused},
		"more than the tenant may":  {err: conductor.TenantLimitError{}, verb: Submit, want: Refused},
		"unexpected error, unclear": {err: errors.New("x"), verb: Submit, want: Unclear},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, replyOf(tc.err, tc.verb, Reply{Outcome: OK}).Outcome)
		})
	}
}
