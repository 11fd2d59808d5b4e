package forecaster

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
)

// inForecastMonth is a time in the month that is forecast, March 2026. Only its month matters.
const inForecastMonth clock.Millis = 1_773_100_000_000

// manyWorkloads returns a ledger of 13 months, the declarations and the time to forecast at,
// for the given number of workloads. A quarter of them are services, and each runs in 3 of 8
// data centres.
func manyWorkloads(b *testing.B, workloads int) (*meter.Ledger, *declarer.State, clock.Millis) {
	f := declarer.File{WatchJobs: []declarer.WatchJob{}, Operators: []declarer.Operator{{Name: "o", Currency: "EUR", TimeZone: "Europe/Ljubljana"}}}
	for n := range 8 {
		dc := fmt.Sprint("dc-", n)
		f.DataCentres = append(f.DataCentres, declarer.DataCentre{Name: dc, Region: "r", Shards: 1})
		for _, r := range []declarer.Resource{declarer.ResourceProcessors, declarer.ResourceMemory} {
			f.Prices = append(f.Prices, declarer.Price{DataCentre: dc, Resource: r, From: "2025-01-01", HourlyMillionths: 3_000_000})
		}
	}
	for n := range 280 {
		f.Teams = append(f.Teams, declarer.Team{Name: fmt.Sprint("team-", n)})
	}
	for n := range workloads {
		team, name := fmt.Sprint("team-", n%280), fmt.Sprint("work-", n)
		if n%4 == 0 {
			f.Services = append(f.Services, declarer.Service{Name: name, Team: team, Replicas: 3, Size: size(2, 4, 0), LatencyTarget: 200})
			continue
		}
		f.BatchJobs = append(f.BatchJobs, declarer.BatchJob{Name: name, Team: team, Size: size(2, 4, 0), RunTime: clock.Hour, Calendar: declarer.Calendar{Every: declarer.EveryWeek, Day: 1 + n%7}})
	}
	document, err := json.Marshal(f)
	must.NoError(b, err)
	s := stateOf(b, string(document))
	return ledgerOfDays(s, workloads), s, parseTime(b, "2026-03-10T00:10:00Z")
}

// ledgerOfDays returns a ledger with 13 months of usage. The first hour of a day holds the
// usage of the whole day.
func ledgerOfDays(s *declarer.State, workloads int) *meter.Ledger {
	zone := pricer.NewTable(s).Zone()
	l := meter.NewLedger(zone)
	offset := int64(0)
	end := pricer.MonthOf(inForecastMonth, zone).Start() + 9*clock.Day
	for day := meter.StartOfDay(end-395*clock.Day, zone); day < end; day = pricer.NextDay(day, zone) {
		for dc := range 8 {
			u := &schema.Usage{Shard: fmt.Sprintf("dc-%d/0", dc), HourMillis: int64(day)}
			for w := range workloads {
				if (dc-w%8+8)%8 < 3 {
					// The usage varies between days and workloads.
					ms := int64(clock.Day) - (int64(day)/977+int64(w)*104729)%int64(clock.Hour)
					u.Lines = append(u.Lines, &schema.UsageLine{Team: fmt.Sprint("team-", w%280), Work: fmt.Sprint("work-", w), TaskMillis: ms, ReservedMillicoreMillis: 2000 * ms, ReservedMibMillis: 4096 * ms, UsedMillicoreMillis: 999 * ms, Runs: 1})
				}
			}
			l.Add(offset, u)
			offset++
			for h := day + clock.Hour; h < pricer.NextDay(day, zone); h += clock.Hour {
				l.Add(offset, &schema.Usage{Shard: u.Shard, HourMillis: int64(h)})
				offset++
			}
		}
	}
	return l
}

// BenchmarkForecast measures the time and memory of a forecast with its band from 13 months
// of history:
//
//	go test ./forecaster -run xxx -bench Forecast -benchtime 3x
func BenchmarkForecast(b *testing.B) {
	for _, workloads := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(workloads, "-works"), func(b *testing.B) {
			l, s, now := manyWorkloads(b, workloads)
			b.ReportAllocs()
			heapWithForecaster := 0.0
			for b.Loop() {
				f := New(l, s, now)
				f.Forecast(f.CurrentMonth())
				heapWithForecaster = liveHeap(f)
			}
			ledger := liveHeap(l)
			b.ReportMetric(heapWithForecaster-ledger, "forecaster-bytes")
			b.ReportMetric(ledger-liveHeap(nil), "ledger-bytes")
		})
	}
}

// liveHeap returns the bytes of live heap while a value is kept reachable.
func liveHeap(value any) float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	runtime.KeepAlive(value)
	return float64(m.HeapAlloc)
}
