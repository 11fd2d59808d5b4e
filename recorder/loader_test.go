package recorder_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
)

// TestLoadOverSlowLink guards against a host that can never load a topic, because the transfer of a
// page takes longer than the first attempt may.
func TestLoadOverSlowLink(t *testing.T) {
	tests := map[string]struct {
		transfer clock.Millis
		// allowed is the time for the transfer of a page.
		allowed clock.Millis
		want    bool
	}{
		"ordinary link":              {transfer: 80, allowed: 100, want: true},
		"2 Mbit/s":                   {transfer: 4000, allowed: 8400, want: true},
		"2 Mbit/s, shared":           {transfer: 7500, allowed: 8400, want: true},
		"ordinary link, no answer":   {transfer: 4000, allowed: 100},
		"2 Mbit/s, store is cut off": {transfer: clock.Minute, allowed: 8400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transfer := func(ctx context.Context) error {
					select {
					case <-time.After(tt.transfer.Duration()):
						return nil
					case <-ctx.Done():
						return recorder.ErrUnclear
					}
				}
				s := recorder.Store{
					PageTransfer: tt.allowed,
					ReadNewest: func(ctx context.Context, _, _ string) (recorder.Page, error) {
						return recorder.Page{Items: []recorder.Item{{Key: "a", Value: []byte("1")}}, End: 1}, transfer(ctx)
					},
					Read: func(ctx context.Context, _ string, from int64, _ clock.Millis) ([]recorder.Item, int64, error) {
						return nil, from, transfer(ctx)
					},
				}
				items, end, err := recorder.Load(t.Context(), s, "t")
				if !tt.want {
					must.ErrorIs(t, err, recorder.ErrUnclear)
					return
				}
				must.NoError(t, err)
				must.Eq(t, 1, end)
				must.MapLen(t, 1, items)
			})
		})
	}
}

// TestLoadOfBusyTopicEnds guards against a leader that never serves because it loads a topic to which
// others append faster than it can be read to the end, such as the registry of 3,000 workers that
// write every 1.5 s.
func TestLoadOfBusyTopicEnds(t *testing.T) {
	const answerTime = 4 * time.Millisecond
	tests := map[string]struct {
		perSecond, keys, pageSize int
	}{
		"quiet, one page":       {keys: 100, pageSize: 500},
		"300 workers":           {perSecond: 200, keys: 300, pageSize: 500},
		"3,000 workers":         {perSecond: 2000, keys: 3000, pageSize: 500},
		"3,000, one large page": {perSecond: 2000, keys: 3000, pageSize: 3000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				// Record n is written by worker n modulo keys and has n as its value.
				written := func() int64 {
					return int64(tt.keys) + int64(time.Since(began).Seconds()*float64(tt.perSecond))
				}
				item := func(n int64) recorder.Item {
					return recorder.Item{Key: fmt.Sprintf("%05d", n%int64(tt.keys)), Value: []byte(strconv.FormatInt(n, 10))}
				}
				s := recorder.Store{
					ReadNewest: func(_ context.Context, _, after string) (recorder.Page, error) {
						time.Sleep(answerTime)
						end, from := written(), 0
						if after != "" {
							k, err := strconv.Atoi(after)
							must.NoError(t, err)
							from = k + 1
						}
						p := recorder.Page{End: end}
						for k := from; k < min(from+tt.pageSize, tt.keys); k++ {
							newest := (end-1-int64(k))/int64(tt.keys)*int64(tt.keys) + int64(k)
							p.Items = append(p.Items, item(newest))
						}
						p.More = from+tt.pageSize < tt.keys
						return p, nil
					},
					Read: func(ctx context.Context, _ string, from int64, _ clock.Millis) ([]recorder.Item, int64, error) {
						time.Sleep(answerTime)
						if ctx.Err() != nil {
							return nil, 0, recorder.ErrUnclear
						}
						var found []recorder.Item
						for n := from; n < written(); n++ {
							found = append(found, item(n))
						}
						return found, from + int64(len(found)), nil
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				items, end, err := recorder.Load(ctx, s, "t")
				must.NoError(t, err)
				must.NoError(t, ctx.Err(), must.Sprint("the topic was not loaded within a second"))
				must.MapLen(t, tt.keys, items)
				for k := range int64(tt.keys) {
					want := (end-1-k)/int64(tt.keys)*int64(tt.keys) + k
					must.Eq(t, string(item(want).Value), string(items[item(want).Key]))
				}
			})
		})
	}
}
