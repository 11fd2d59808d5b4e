package journaler

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

func record(n int) *schema.Record {
	return &schema.Record{Id: fmt.Sprint(n), Body: &schema.Record_Cancel{Cancel: &schema.CancelIntent{Key: fmt.Sprint(n)}}}
}

// TestEveryRecordIsAppended adds records while the log is at times down or loses the
// responses to appends, and limits the rate of appends. Once the faults end, each record must be in the log and none pending.
func TestEveryRecordIsAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(clock.Hour)
		l := imitator.NewLog(imitator.WithLogClock(c.Now), imitator.WithAppendsPerSecond(30))
		j := New(rapid.Uint64().Draw(t, "seed"))
		nextOffset := provider.Offset(0)
		readIDs := map[string]int{}
		appendAndRead := func() {
			c.Advance(50)
			for _, b := range j.Step(c.Now()) {
				_, err := l.Provider().Append(context.Background(), b.Stream(), b.Records())
				j.Done(c.Now(), b.Number(), err)
			}
			page, err := l.Provider().Read(context.Background(), "s", nextOffset, 1000)
			if err != nil {
				return
			}
			for _, e := range page.Entries {
				r, err := Decode(e)
				must.NoError(t, err)
				readIDs[r.GetId()]++
				j.MarkRead(r.GetId())
				nextOffset = e.Offset + 1
			}
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "records") {
					must.NoError(t, j.Add(c.Now(), "s", record(n)))
					n++
				}
			},
			"step": func(*rapid.T) { appendAndRead() },
			"fault": func(t *rapid.T) {
				l.SetFaults(imitator.LogFaults{Down: rapid.Bool().Draw(t, "down"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose")})
			},
		})
		l.SetFaults(imitator.LogFaults{})
		for range 400 {
			appendAndRead()
		}
		must.Eq(t, 0, j.Len())
		must.MapLen(t, n, readIDs)
	})
}

func TestBatchesPendingRecords(t *testing.T) {
	j := New(1)
	for n := range 10 {
		must.NoError(t, j.Add(0, "s", record(n)))
	}
	must.SliceEmpty(t, j.Step(defaultFlushAfter-1))
	due := j.Step(defaultFlushAfter)
	must.Len(t, 1, due)
	must.Len(t, 10, due[0].Records())
	must.Eq(t, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}, due[0].IDs())
}

func TestAppendRateLimit(t *testing.T) {
	j := New(1, WithAppendsPerSecond(3))
	appends := 0
	for now := clock.Millis(0); now < 10*clock.Second; now += 10 {
		must.NoError(t, j.Add(now, fmt.Sprintf("s%d", now%70), record(int(now))))
		for _, b := range j.Step(now) {
			appends++
			j.Done(now, b.Number(), nil)
			for _, id := range b.IDs() {
				j.MarkRead(id)
			}
		}
	}
	must.Eq(t, 30, appends)
}

// FuzzDecode checks that any input decodes to a record or an error, and that a decoded
// record can be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x01, 0x31, 0x92, 0x01, 0x03, 0x0a, 0x01, 0x31})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(provider.Entry{Data: data})
		if err != nil {
			return
		}
		j := New(1)
		must.NoError(t, j.Add(0, "s", r))
		again, err := Decode(provider.Entry{Data: j.Step(clock.Second)[0].Records()[0]})
		must.NoError(t, err)
		must.Eq(t, r.GetId(), again.GetId())
	})
}
