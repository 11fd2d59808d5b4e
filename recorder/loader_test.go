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
