// Package measurer has the daemon's metrics, by tally, in a form that scrapers
// can read. docs/METRICS.md lists each.
package measurer

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"galenawharf.example/galenawharf/coder"
)

type (
	// Metrics are those of one daemon. Counters and gauges are safe for
	// concurrent use and take no lock.
	Metrics struct {
		scope    tally.Scope
		closer   io.Closer
		handler  http.Handler
		counters map[Counter]tally.Counter
		gauges   map[Gauge]tally.Gauge
		timers   map[Timer]tally.Histogram
		results  map[coder.Code]tally.Counter
	}

	// Counter names a number that only grows.
	Counter string

	// Gauge names a number that goes up and down.
	Gauge string

	// Timer names a distribution of durations.
	Timer string
)

const (
	reportInterval = time.Second

	fastestBucket = 500 * time.Microsecond
	bucketFactor  = 2
	bucketCount   = 16
)

var (
	underscored = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters}

	// sanitize keeps the dashes and dots of host names.
	sanitize = tally.SanitizeOptions{
		NameCharacters:       underscored,
		KeyCharacters:        underscored,
		ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
		ReplacementCharacter: tally.DefaultReplacementCharacter,
	}
)

// New gives the metrics of a daemon, which report once a second until Close.
func New(daemon, dataCentre string) *Metrics {
	reg := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "galenawharf",
		Tags:                   map[string]string{"daemon": daemon, "data_centre": dataCentre},
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		scope: scope, closer: closer, handler: r.HTTPHandler(),
		counters: map[Counter]tally.Counter{},
		gauges:   map[Gauge]tally.Gauge{},
		timers:   map[Timer]tally.Histogram{},
		results:  map[coder.Code]tally.Counter{},
	}
	m.register()
	return m
}

func (m *Metrics) register() {
	for _, c := range counters {
		m.counters[c] = m.scope.Counter(string(c))
	}
	for _, g := range gauges {
		m.gauges[g] = m.scope.Gauge(string(g))
	}
	buckets := tally.MustMakeExponentialDurationBuckets(fastestBucket, bucketFactor, bucketCount)
	for _, t := range timers {
		m.timers[t] = m.scope.Histogram(string(t), buckets)
	}
	for _, c := range coder.Codes() {
		m.results[c] = m.scope.Tagged(map[string]string{"code": c.String()}).Counter(string(Results))
	}
}

// Add adds to a counter.
func (m *Metrics) Add(c Counter, n int64) { m.counters[c].Inc(n) }

// Set sets a gauge.
func (m *Metrics) Set(g Gauge, v float64) { m.gauges[g].Update(v) }

// Record adds a duration to a distribution.
func (m *Metrics) Record(t Timer, d time.Duration) { m.timers[t].RecordDuration(d) }

// Result counts the end of a request by its code.
func (m *Metrics) Result(c coder.Code) {
	if r, known := m.results[c]; known {
		r.Inc(1)
	}
}

// Handler serves the metrics to scrapers.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close ends the reports and waits.
func (m *Metrics) Close() { _ = m.closer.Close() }
