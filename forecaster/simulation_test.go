package forecaster

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// simulation simulates one installation day by day: the operator's declarations and
	// the usage records that result from them.
	simulation struct {
		rng         *rand.Rand
		zone        *time.Location
		state       *declarer.State
		ledger      *meter.Ledger
		dataCentres []string
		day         clock.Millis
		offset      int64
		jobFactors  map[string]float64
		drift       float64
		season      func(time.Time) float64
		daily       map[clock.Millis]int64
	}
)

var (
	schoolTerms = []declarer.Term{
		{From: "2025-01-06", Until: "2025-02-14"}, {From: "2025-02-24", Until: "2025-04-25"}, {From: "2025-05-05", Until: "2025-06-24"},
		{From: "2025-09-01", Until: "2025-10-24"}, {From: "2025-11-03", Until: "2025-12-24"}, {From: "2026-01-05", Until: "2026-02-13"},
		{From: "2026-02-23", Until: "2026-04-24"}, {From: "2026-05-04", Until: "2026-06-24"}, {From: "2026-09-01", Until: "2026-10-23"},
	}
)

func newSimulation(t testing.TB, seed uint64, zone, currency string, dataCentres []string, start time.Time) *simulation {
	z, err := time.LoadLocation(zone)
	must.NoError(t, err)
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), zone: z, state: declarer.NewState(), ledger: meter.NewLedger(z), dataCentres: dataCentres,
		day:        clock.FromTime(time.Date(start.Year(), start.Month(), start.Day(), 0, 0, 0, 0, z)),
		jobFactors: map[string]float64{}, season: func(time.Time) float64 { return 1 }, daily: map[clock.Millis]int64{},
	}
	s.declare(t, declarer.KindOperator, declarer.Operator{Name: "operator", Currency: currency, TimeZone: zone})
	for n, p := range dataCentres {
		s.declare(t, declarer.KindDataCentre, declarer.DataCentre{Name: p, Region: "region", Shards: 1})
		s.declarePrices(t, p, "2024-01-01", 1+0.05*float64(n))
	}
	return s
}

func (s *simulation) declarePrices(t testing.TB, dataCentre, from string, factor float64) {
	for r, millionths := range map[declarer.Resource]float64{declarer.ResourceProcessors: 3_000_000, declarer.ResourceMemory: 400_000, declarer.ResourceAccelerators: 90_000_000} {
		s.declare(t, declarer.KindPrice, declarer.Price{Name: dataCentre + "." + string(r) + "." + from, DataCentre: dataCentre, Resource: r, From: from, HourlyMillionths: int64(millionths * factor)})
	}
}

// declare declares a new item or changes the declared item of the same name.
func (s *simulation) declare(t testing.TB, k declarer.Kind, value any) {
	document, err := json.Marshal(value)
	must.NoError(t, err)
	var named struct {
		Name string `json:"name"`
	}
	must.NoError(t, json.Unmarshal(document, &named))
	s.apply(t, &schema.ChangeItem{Kind: string(k), Name: named.Name, Document: document})
}

func (s *simulation) apply(t testing.TB, i *schema.ChangeItem) {
	i.ExpectedVersion = s.state.Get(declarer.Kind(i.Kind), i.Name).Version()
	after, o := s.state.Apply(s.state.Next(), &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{i}})
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	s.state = after
}

func (s *simulation) setDrained(t testing.TB, dataCentre string, drained bool) {
	name := declarer.DrainOfDataCentre(dataCentre)
	if drained != s.state.DataCentreDrained(dataCentre) {
		s.apply(t, &schema.ChangeItem{Kind: string(declarer.KindDrain), Name: name, Delete: !drained, Document: []byte(`{"name":"` + name + `"}`)})
	}
}

func size(cores float64, gib int64, accelerators int64) sizer.Document {
	return sizer.Document{Processors: sizer.Processors(cores * 1000), Memory: sizer.Memory(gib * sizer.GiB), Accelerators: accelerators}
}

// crossguard returns a simulation with latency-critical checks around the clock, and with
// reviews that are more frequent in the wet season.
func crossguard(t testing.TB, seed uint64) *simulation {
	s := newSimulation(t, seed, "America/Port_of_Spain", "TTD", []string{"south-1", "south-2", "south-3"}, time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC))
	s.season = func(at time.Time) float64 { return 1 + 0.25*math.Sin(2*math.Pi*(float64(at.YearDay())-150)/365) }
	for _, team := range []string{"technicians", "planners", "dispatch"} {
		s.declare(t, declarer.KindTeam, declarer.Team{Name: team})
	}
	for n := range 6 {
		s.declare(t, declarer.KindService, declarer.Service{Name: fmt.Sprint("checks-", n), Team: "technicians", Replicas: 6 + n, Size: size(4, 12, int64(n%2)), LatencyTarget: 200})
	}
	for n := range 20 {
		s.declare(t, declarer.KindWatchJob, declarer.WatchJob{Name: fmt.Sprint("crossing-", n), Team: "dispatch", Size: size(1, 3, 0), Period: clock.Minute, Tracks: "crossing"})
	}
	for n := range 4 {
		s.declare(t, declarer.KindBatchJob, declarer.BatchJob{Name: fmt.Sprint("review-", n), Team: "planners", Tasks: 40, Size: size(8, 24, 0), RunTime: 2 * clock.Hour})
	}
	s.declare(t, declarer.KindBatchJob, declarer.BatchJob{Name: "history", Team: "planners", Tasks: 60, Size: size(8, 32, 0), RunTime: 6 * clock.Hour, Calendar: declarer.Calendar{Every: declarer.EveryWeek, Day: 6, Hour: 1}})
	return s
}

// sorica returns a simulation with rosters that follow school terms, monthly invoices and
// stock tracking.
func sorica(t testing.TB, seed uint64) *simulation {
	s := newSimulation(t, seed, "Europe/Ljubljana", "EUR", []string{"maribor-1", "maribor-2", "ptuj-1"}, time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC))
	for _, team := range []string{"rosters", "billing", "stock"} {
		s.declare(t, declarer.KindTeam, declarer.Team{Name: team})
	}
	for n := range 5 {
		s.declare(t, declarer.KindService, declarer.Service{Name: fmt.Sprint("scheduling-", n), Team: "rosters", Replicas: 4 + n, Size: size(2, 8, 0), LatencyTarget: 300})
	}
	for n := range 12 {
		s.declare(t, declarer.KindWatchJob, declarer.WatchJob{Name: fmt.Sprint("stock-", n), Team: "stock", Size: size(0.5, 2, 0), Period: clock.Minute, Tracks: "stock"})
	}
	for n := range 5 {
		s.declare(t, declarer.KindBatchJob, declarer.BatchJob{Name: fmt.Sprint("schools-", n), Team: "rosters", Tasks: 30, Size: size(4, 12, 0), RunTime: 3 * clock.Hour, Calendar: declarer.Calendar{Every: declarer.EveryDay, Hour: 3, Terms: schoolTerms}})
		s.declare(t, declarer.KindBatchJob, declarer.BatchJob{Name: fmt.Sprint("offices-", n), Team: "rosters", Tasks: 40, Size: size(4, 8, 0), RunTime: 4 * clock.Hour, Calendar: declarer.Calendar{Every: declarer.EveryWeek, Day: 1 + n, Hour: 2}})
	}
	s.declare(t, declarer.KindBatchJob, declarer.BatchJob{Name: "invoices", Team: "billing", Tasks: 200, Size: size(4, 16, 0), RunTime: 5 * clock.Hour, Calendar: declarer.Calendar{Every: declarer.EveryMonth, Day: 1, Hour: 4}})
	s.declare(t, declarer.KindBatchJob, declarer.BatchJob{Name: "queries", Team: "billing", Tasks: 10, Size: size(2, 8, 0), RunTime: clock.Hour})
	return s
}

// jobFactor returns the constant ratio of actual to declared usage of a job.
func (s *simulation) jobFactor(name string) float64 {
	if s.jobFactors[name] == 0 {
		s.jobFactors[name] = 0.5 + 1.2*s.rng.Float64()
	}
	return s.jobFactors[name]
}

// noise returns a random log-normal factor with median 1.
func (s *simulation) noise(sigma float64) float64 { return math.Exp(sigma * s.rng.NormFloat64()) }

// simulateDay may change the declarations at random, and records the usage of one day.
func (s *simulation) simulateDay(t testing.TB) {
	s.applyRandomChange(t)
	s.drift += 0.004*s.rng.NormFloat64() + 0.0003
	next := pricer.NextDay(s.day, s.zone)
	at := s.day.Time().In(s.zone)
	length := int64(next - s.day)
	lines := map[string][]*schema.UsageLine{}
	for _, v := range s.state.Services() {
		s.reserve(lines, v.Team, v.Name, v.Size, int64(float64(length)*float64(v.Replicas)*(1-0.004*s.rng.Float64())), 0)
	}
	for _, w := range s.state.WatchJobs() {
		s.reserve(lines, w.Team, w.Name, w.Size, int64(float64(length)*(1-0.004*s.rng.Float64())), 0)
	}
	for _, b := range s.state.BatchJobs() {
		runs := float64(len(b.Calendar.Occurrences(s.day, next, s.zone)))
		if b.Calendar.Every == declarer.EveryNone {
			runs = []float64{0.35, 1.1, 1.15, 1.1, 1.05, 0.9, 0.4}[at.Weekday()] * s.season(at)
		}
		tasks := runs * float64(b.Tasks) * s.jobFactor(b.Name) * s.noise(0.12) * math.Exp(s.drift)
		s.reserve(lines, b.Team, b.Name, b.Size, int64(tasks*float64(b.RunTime)), int64(tasks))
	}
	s.record(lines, next)
	s.day = next
}

// applyRandomChange applies what operators do in a year: drain data centres, scale and add
// services, change prices.
func (s *simulation) applyRandomChange(t testing.TB) {
	if s.rng.IntN(25) == 0 {
		s.setDrained(t, s.dataCentres[s.rng.IntN(len(s.dataCentres))], true)
	} else if s.rng.IntN(2) == 0 {
		for _, p := range s.dataCentres {
			s.setDrained(t, p, false)
		}
	}
	services := s.state.Services()
	switch {
	case s.rng.IntN(30) == 0:
		v := services[s.rng.IntN(len(services))]
		v.Replicas = max(1, v.Replicas+s.rng.IntN(5)-2)
		s.declare(t, declarer.KindService, v)
	case s.rng.IntN(60) == 0:
		v := services[0]
		v.Name = fmt.Sprint("new-", int64(s.day/clock.Day))
		v.Replicas = 2
		s.declare(t, declarer.KindService, v)
	case s.rng.IntN(150) == 0:
		from := s.day.Add(30 * clock.Day).Time().In(s.zone).Format(declarer.DateLayout)
		s.declarePrices(t, s.dataCentres[s.rng.IntN(len(s.dataCentres))], from, 0.95+0.15*s.rng.Float64())
	}
}

// reserve adds usage lines for a workload that are spread evenly over the data centres that
// are not drained.
func (s *simulation) reserve(lines map[string][]*schema.UsageLine, team, work string, d sizer.Document, millis, runs int64) {
	var available []string
	for _, p := range s.dataCentres {
		if !s.state.DataCentreDrained(p) {
			available = append(available, p)
		}
	}
	if len(available) == 0 {
		available = s.dataCentres
	}
	rate := reservationRate(d.Size())
	for _, p := range available {
		ms := millis / int64(len(available))
		lines[p] = append(lines[p], &schema.UsageLine{
			Team: team, Work: work, TaskMillis: ms, Runs: runs / int64(len(available)),
			ReservedMillicoreMillis: int64(rate[0]) * ms, ReservedMibMillis: int64(rate[1]) * ms, ReservedAcceleratorMillis: int64(rate[2]) * ms,
			UsedMillicoreMillis: int64(rate[0]) * ms / 2, UsedMibMillis: int64(rate[1]) * ms / 2,
		})
	}
}

// record appends the day's usage records. The first hour holds the usage of the whole day,
// which makes no difference to forecasts since they use daily sums.
func (s *simulation) record(lines map[string][]*schema.UsageLine, next clock.Millis) {
	for _, p := range s.dataCentres {
		for h := s.day; h < next; h += clock.Hour {
			u := &schema.Usage{Shard: p + "/0", HourMillis: int64(h)}
			if h == s.day {
				u.Lines = lines[p]
			}
			s.ledger.Add(s.offset, u)
			s.offset++
		}
	}
}
