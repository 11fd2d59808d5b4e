package scheduler

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// cancelUnknown cancels a job that is not known, and returns what its caller is told, nil before that.
func (b *harness) cancelUnknown(t *testing.T, id, tenant string) *error {
	t.Helper()
	must.ErrorIs(t, b.Cancel(id, tenant, func(error) {}), ErrUnknown)
	told := errors.New("not told")
	must.NoError(t, b.CancelUnknown(id, tenant, func(err error) { told = err }))
	return &told
}

// TestSubmissionAfterCancel guards against a start of a job that was cancelled first, and against a
// cancellation by one tenant of what another submits.
func TestSubmissionAfterCancel(t *testing.T) {
	tests := map[string]struct {
		cancelledBy, tenant string
		deposited, takeover bool
		want                error
	}{
		"submitted":               {},
		"submitted to the next":   {takeover: true},
		"deposited":               {deposited: true},
		"deposited, next leader":  {deposited: true, takeover: true},
		"same tenant":             {cancelledBy: "t", tenant: "t"},
		"other tenant":            {cancelledBy: "t", tenant: "u", want: ErrConflict},
		"caller without a tenant": {tenant: "u"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(1)
			told := b.cancelUnknown(t, "job", tc.cancelledBy)
			must.Error(t, *told)
			batch := b.TakeBatch()
			b.storeBatch(batch)
			must.NoError(t, *told)
			if tc.takeover {
				b, _ = takeOver(t, registryOf(1), batch.Records...)
			}
			_, err := b.Phase("job", "q", "")
			must.ErrorIs(t, err, ErrUnknown)
			submit := b.Submit
			if tc.deposited {
				submit = b.SubmitDeposited
			}
			stored := false
			spec := Spec{ID: "job", Tenant: tc.tenant, Queue: Queue{Name: "q", Service: testService, MaxAttempts: 2}, Steps: []Step{{Count: 1, CPU: 100}}}
			must.ErrorIs(t, submit(spec, func(error) { stored = true }), tc.want)
			must.SliceEmpty(t, b.placeAndStore())
			if tc.want != nil {
				return
			}
			must.True(t, stored)
			p, err := b.Phase("job", "q", "")
			must.NoError(t, err)
			must.Eq(t, Cancelled, p)
			must.Zero(t, b.earlyCancels)
		})
	}
}

// TestEarlyCancelsAreBounded guards against callers who fill the memory with cancellations of jobs that do
// not exist, and against a bound that is never free again.
func TestEarlyCancelsAreBounded(t *testing.T) {
	b := newHarness(1)
	for i := range maxEarlyCancels {
		b.cancelUnknown(t, fmt.Sprintf("job%d", i), "")
	}
	must.ErrorIs(t, b.CancelUnknown("more", "", func(error) {}), ErrTooManyCancels)
	// One that is remembered already needs no more room.
	b.cancelUnknown(t, "job0", "")
	b.storeBatch(b.TakeBatch())
	b.clock.Advance(defaultRetention + clock.Second)
	b.Sweep()
	must.Zero(t, b.earlyCancels)
	b.cancelUnknown(t, "more", "")
	// Its caller sends the cancellation again before the first is stored.
	b.cancelUnknown(t, "more", "")
	b.DropUnsent(errors.New("the store is away"))
	must.Zero(t, b.earlyCancels)
	must.False(t, b.HasJob("more"))
}
