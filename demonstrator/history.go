package demonstrator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

const (
	historyBatch = 500
	hourMillis   = int64(clock.Hour)
)

// SeedHistory gives a log the usage records that the declared work would have
// left behind in a span before now, if it had run as declared.
func SeedHistory(l *imitator.Log, items []declarer.Item, now, span clock.Millis) error {
	var batch [][]byte
	first := (now - span) / clock.Hour * clock.Hour
	for hour := first; hour+clock.Hour <= now; hour += clock.Hour {
		for n, dc := range dataCentres(items) {
			r := &schema.Record{
				Id:       fmt.Sprintf("history/%s/%d", dc, hour),
				AtMillis: int64(hour + clock.Hour),
				Daemon:   "history",
				Body:     &schema.Record_Usage{Usage: usageOf(items, dc, n, hour)},
			}
			data, err := proto.Marshal(r)
			if err != nil {
				return errors.Wrap(err, "demonstrator.SeedHistory")
			}
			batch = append(batch, data)
		}
	}
	p := l.Provider()
	for len(batch) > 0 {
		n := min(historyBatch, len(batch))
		if _, err := p.Append(context.Background(), provider.StreamUsage, batch[:n]); err != nil {
			return errors.Wrap(err, "demonstrator.SeedHistory")
		}
		batch = batch[n:]
	}
	return nil
}

// usageOf gives what the declared work used in an hour in the data centre of a
// number: replicas in turn, all else in the first.
func usageOf(items []declarer.Item, dc string, number int, hour clock.Millis) *schema.Usage {
	u := &schema.Usage{Shard: claimer.ShardName(dc, 0), HourMillis: int64(hour)}
	for _, i := range items {
		switch v := i.Value().(type) {
		case declarer.Service:
			share := int64((v.Replicas + 1 - number) / 2)
			u.Lines = append(u.Lines, usageLine(v.Team, v.Name, v.Size.Size(), share*hourMillis, 0))
		case declarer.WatchJob:
			if number == 0 {
				u.Lines = append(u.Lines, usageLine(v.Team, v.Name, v.Size.Size(), hourMillis, 0))
			}
		case declarer.BatchJob:
			if number == 0 && v.Calendar.Every == declarer.EveryDay && hour.Time().Hour() == v.Calendar.Hour {
				u.Lines = append(u.Lines, usageLine(v.Team, v.Name, v.Size.Size(), int64(v.Tasks)*int64(v.RunTime), int64(v.Tasks)))
			}
		}
	}
	return u
}

func usageLine(team, work string, s sizer.Size, millis, runs int64) *schema.UsageLine {
	return &schema.UsageLine{
		Team: team, Work: work, TaskMillis: millis, Runs: runs,
		ReservedMillicoreMillis:   s.Millicores() * millis,
		ReservedMibMillis:         s.MemoryBytes() / sizer.MiB * millis,
		ReservedAcceleratorMillis: s.Accelerators() * millis,
		UsedMillicoreMillis:       s.Millicores() * millis * 7 / 10,
		UsedMibMillis:             s.MemoryBytes() / sizer.MiB * millis * 8 / 10,
	}
}
