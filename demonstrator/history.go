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
	recordsPerAppend = 500
	hourMillis       = int64(clock.Hour)
)

// SeedHistory appends to a log the usage records of the hours in the span before now, as
// if the declared work had run as declared.
func SeedHistory(l *imitator.Log, items []declarer.Item, now, span clock.Millis) error {
	var batch [][]byte
	first := (now - span) / clock.Hour * clock.Hour
	for hour := first; hour+clock.Hour <= now; hour += clock.Hour {
		for n, dc := range dataCentres(items) {
			r := &schema.Record{
				Id:       fmt.Sprintf("history/%s/%d", dc, hour),
				AtMillis: int64(hour + clock.Hour),
				Daemon:   "history",
				Body:     &schema.Record_Usage{Usage: hourlyUsage(items, dc, n, hour)},
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
		n := min(recordsPerAppend, len(batch))
		if _, err := p.Append(context.Background(), provider.StreamUsage, batch[:n]); err != nil {
			return errors.Wrap(err, "demonstrator.SeedHistory")
		}
		batch = batch[n:]
	}
	return nil
}

// hourlyUsage returns the usage of the declared work in one hour in the data centre dc,
// which has the given index. Replicas are spread over two data centres; jobs run in the
// first.
func hourlyUsage(items []declarer.Item, dc string, number int, hour clock.Millis) *schema.Usage {
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

// usageLine returns the usage of tasks of size s that ran for millis in total, of which
// they used 70% of their CPU and 80% of their memory reservation.
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
