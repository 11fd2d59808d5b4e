package depositor_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

// TestDeposit checks that ErrUnavailable is only returned if no attempt can have stored the job,
// and that no deposit is attempted while reads of the store fail or right after a deposit
// without an answer.
func TestDeposit(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	now := clock.NewManual(100_000)
	tests := map[string]struct {
		// answers are the results of the store's appends, in order.
		answers []error
		// read is when the store last answered a read, 0 if that failed.
		read  clock.Millis
		want  error
		calls int
		// again is the error of a second deposit right after the first.
		again error
	}{
		"stored":                   {answers: []error{nil, nil}, read: now.Now(), calls: 1},
		"refused, then stored":     {answers: []error{recorder.ErrRefused, nil, nil}, read: now.Now(), calls: 2},
		"refused":                  {answers: []error{recorder.ErrRefused, recorder.ErrRefused, recorder.ErrRefused, nil}, read: now.Now(), calls: 3, want: depositor.ErrUnavailable},
		"answer lost, then stored": {answers: []error{recorder.ErrUnclear, nil, nil}, read: now.Now(), calls: 2},
		"no answers":               {answers: []error{recorder.ErrUnclear, recorder.ErrUnclear, recorder.ErrRefused}, read: now.Now(), calls: 3, want: depositor.ErrUnclear, again: depositor.ErrUnavailable},
		"store failed a read":      {read: 0, want: depositor.ErrUnavailable, again: depositor.ErrUnavailable},
		"last read too old":        {read: now.Now() - 2*clock.Second, want: depositor.ErrUnavailable, again: depositor.ErrUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			calls := 0
			s := recorder.Store{Append: func(_ context.Context, topic string, at int64, items []recorder.Item) (int64, error) {
				must.Eq(t, depositor.Topic, topic)
				must.Eq(t, recorder.AnyEnd, at)
				spec, err := depositor.Decode(items[0])
				must.NoError(t, err)
				must.Eq(t, id, spec.ID)
				calls++
				return 0, tc.answers[calls-1]
			}}
			d := depositor.New(s, now.Now, func() clock.Millis { return tc.read })
			check := func(want error) {
				t.Helper()
				err := d.Deposit(t.Context(), scheduler.Spec{ID: id, Steps: []scheduler.Step{{Count: 1}}})
				if want == nil {
					must.NoError(t, err)
				} else {
					must.ErrorIs(t, err, want)
				}
			}
			check(tc.want)
			must.Eq(t, tc.calls, calls)
			check(tc.again)
		})
	}
}
