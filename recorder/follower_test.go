package recorder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
)

// TestFollowerSurvivesPanic guards against a callback that ends the process: the error is passed on,
// and the topic is loaded again.
func TestFollowerSurvivesPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := recorder.Store{
			ReadNewest: func(context.Context, string, string) (recorder.Page, error) { return recorder.Page{}, nil },
			Read: func(ctx context.Context, _ string, from int64, wait clock.Millis) ([]recorder.Item, int64, error) {
				recorder.Sleep(ctx, wait)
				return nil, from, nil
			},
		}
		resets := 0
		var failures []error
		f := recorder.Follow(s, "t", recorder.PollTiming{Wait: clock.Second}, recorder.Callbacks{
			Reset: func(map[string][]byte) {
				if resets++; resets == 1 {
					panic("malformed item")
				}
			},
			Change: func([]recorder.Item) {},
			Read:   func(_, _ clock.Millis) {},
			Failed: func(err error) { failures = append(failures, err) },
		})
		time.Sleep(3 * time.Second)
		f.Close()
		must.Eq(t, 2, resets)
		must.SliceLen(t, 1, failures)
		must.ErrorIs(t, failures[0], recorder.ErrCallback)
	})
}
