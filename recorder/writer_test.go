package recorder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
)

// TestWriterResolvesAppendOutcome injects faults into an append and checks that its items
// are stored exactly once, or that the error reports that another writer has taken over.
// An unconditional retry after a lost answer would store the items twice.
func TestWriterResolvesAppendOutcome(t *testing.T) {
	mine := []recorder.Item{{Key: "mine", Value: []byte("1")}}
	isOwn := func(i recorder.Item) bool { return i.Key == "mine" }
	tests := map[string]struct {
		// faults are the faults of the writer's calls to the store, appends and reads, in
		// order; later calls succeed.
		faults []imitator.StoreFault
		// rival is whether another writer has appended before.
		rival bool
		want  error
	}{
		"stored":                      {faults: []imitator.StoreFault{imitator.StoreFine}},
		"refused, then stored":        {faults: []imitator.StoreFault{imitator.StoreRefuses, imitator.StoreRefuses}},
		"answer lost":                 {faults: []imitator.StoreFault{imitator.StoreLosesAnswer}},
		"no answers, then stored":     {faults: []imitator.StoreFault{imitator.StoreSilent, imitator.StoreSilent}},
		"takes effect late":           {faults: []imitator.StoreFault{imitator.StoreLate}},
		"another writer":              {rival: true, want: recorder.ErrDeposed},
		"another writer, refused":     {rival: true, faults: []imitator.StoreFault{imitator.StoreRefuses}, want: recorder.ErrDeposed},
		"another writer, answer lost": {rival: true, faults: []imitator.StoreFault{imitator.StoreLosesAnswer}, want: recorder.ErrDeposed},
		"two answers lost":            {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreLosesAnswer}},
		"answer lost, read refused":   {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreFine, imitator.StoreRefuses}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := tc.faults
				l := imitator.NewKeyedLog(4, func(string, string, string) imitator.StoreFault {
					if len(faults) == 0 {
						return imitator.StoreFine
					}
					f := faults[0]
					faults = faults[1:]
					return f
				})
				if tc.rival {
					l.Put("t", recorder.Item{Key: "rival", Value: []byte("2")})
				}
				w := recorder.NewWriter(l.Client("c"), "t", 0, isOwn)
				err := w.Append(t.Context(), mine)
				if tc.want != nil {
					must.ErrorIs(t, err, tc.want)
					return
				}
				must.NoError(t, err)
				// An append that takes effect late must not store the items once more.
				recorder.Sleep(context.Background(), 5000)
				must.Eq(t, mine, l.Items("t"))
				must.Eq(t, 1, w.End())
				must.Eq(t, 0, w.FailingSince())
			})
		})
	}
}

// TestLoadIncludesConcurrentAppends appends to the topic after each page that Load reads.
// The result must have the items as of the returned offset.
func TestLoadIncludesConcurrentAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := imitator.NewKeyedLog(4, nil)
		l.Put("t", recorder.Item{Key: "a", Value: []byte("1")}, recorder.Item{Key: "b", Value: []byte("1")})
		s := l.Client("c")
		newest := s.ReadNewest
		s.ReadNewest = func(ctx context.Context, topic, after string) (recorder.Page, error) {
			p, err := newest(ctx, topic, after)
			l.Put("t", recorder.Item{Key: "a", Value: []byte("2")}, recorder.Item{Key: "b"}, recorder.Item{Key: "c", Value: []byte("1")})
			return p, err
		}
		items, end, err := recorder.Load(t.Context(), s, "t")
		must.NoError(t, err)
		must.Eq(t, 5, end)
		must.Eq(t, map[string][]byte{"a": []byte("2"), "c": []byte("1")}, items)
	})
}

// TestLastSuccessBeforeRival guards against a deposed leader that goes on granting leases.
func TestLastSuccessBeforeRival(t *testing.T) {
	tests := map[string]struct {
		// faults are the faults of the writer's calls to the store, in order.
		faults []imitator.StoreFault
		// rivalAt is when another writer appends, after the start.
		rivalAt time.Duration
	}{
		"answer lost":                  {faults: []imitator.StoreFault{imitator.StoreLosesAnswer}, rivalAt: 200 * time.Millisecond},
		"answer lost, store cut off":   {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreSilent, imitator.StoreSilent, imitator.StoreSilent}, rivalAt: time.Second},
		"answer lost, store refuses":   {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreRefuses, imitator.StoreRefuses}, rivalAt: 410 * time.Millisecond},
		"answer lost, read unanswered": {faults: []imitator.StoreFault{imitator.StoreLosesAnswer, imitator.StoreFine, imitator.StoreSilent}, rivalAt: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := tc.faults
				l := imitator.NewKeyedLog(4, func(string, string, string) imitator.StoreFault {
					if len(faults) == 0 {
						return imitator.StoreFine
					}
					f := faults[0]
					faults = faults[1:]
					return f
				})
				w := recorder.NewWriter(l.Client("c"), "t", 0, func(i recorder.Item) bool { return i.Key == "mine" })
				rivalAt := clock.System() + clock.FromDuration(tc.rivalAt)
				go func() {
					time.Sleep(tc.rivalAt)
					l.Put("t", recorder.Item{Key: "rival", Value: []byte("2")})
				}()
				must.NoError(t, w.Append(t.Context(), []recorder.Item{{Key: "mine", Value: []byte("1")}}))
				must.Less(t, rivalAt, w.LastSuccess(), must.Sprint("success after another writer has taken over"))
			})
		})
	}
}
