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

// SeedHistory appends usage records to a log, one for each data centre and hour in the span
// before now, as if the declared services, watch jobs and daily batch jobs had run then.
func SeedHistory(l *imitator.Log, items []declarer.Item, now, span clock.Millis) error {
	var records [][]byte
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
			records = append(records, data)
		}
	}
	p := l.Provider()
	for len(records) > 0 {
		n := min(recordsPerAppend, len(records))
		if _, err := p.Append(context.Background(), provider.StreamUsage, records[:n]); err != nil {
			return errors.Wrap(err, "demonstrator.SeedHistory")
		}
		records = records[n:]
	}
	return nil
}

// hourlyUsage returns the usage in one hour in the data centre dc, whose index is dcIndex.
// Service replicas are spread over two data centres. Watch jobs and daily batch jobs run in
// the first; other batch jobs are left out.
func hourlyUsage(items []declarer.Item, dc string, dcIndex int, hour clock.Millis) *schema.Usage {
	u := &schema.Usage{Shard: claimer.ShardName(dc, 0), HourMillis: int64(hour)}
	for _, i := range items {
		switch v := i.Value().(type) {
		case declarer.Service:
			replicas := int64((v.Replicas + 1 - dcIndex) / 2)
			u.Lines = append(u.Lines, usageLine(v.Team, v.Name, v.Size.Size(), replicas*hourMillis, 0))
		case declarer.WatchJob:
			if dcIndex == 0 {
				u.Lines = append(u.Lines, usageLine(v.Team, v.Name, v.Size.Size(), hourMillis, 0))
			}
		case declarer.BatchJob:
			if dcIndex == 0 && v.Calendar.Every == declarer.EveryDay && hour.Time().Hour() == v.Calendar.Hour {
				u.Lines = append(u.Lines, usageLine(v.Team, v.Name, v.Size.Size(), int64(v.Tasks)*int64(v.RunTime), int64(v.Tasks)))
			}
		}
	}
	return u
}

// usageLine returns the usage of tasks of size s that ran for taskMillis in total and used
// 70% of the processors and 80% of the memory that they reserved.
func usageLine(team, work string, s sizer.Size, taskMillis, runs int64) *schema.UsageLine {
	return &schema.UsageLine{
		Team: team, Work: work, TaskMillis: taskMillis, Runs: runs,
		ReservedMillicoreMillis:   s.Millicores() * taskMillis,
		ReservedMibMillis:         s.MemoryBytes() / sizer.MiB * taskMillis,
		ReservedAcceleratorMillis: s.Accelerators() * taskMillis,
		UsedMillicoreMillis:       s.Millicores() * taskMillis * 7 / 10,
		UsedMibMillis:             s.MemoryBytes() / sizer.MiB * taskMillis * 8 / 10,
	}
}
