// Package measurer collects a daemon's metrics with tally and serves them in the
// Prometheus format. docs/METRICS.md lists them all.
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
	// Metrics is the set of metrics of one daemon. It is safe for concurrent use, and
	// updating a counter or gauge takes no lock.
	Metrics struct {
		scope    tally.Scope
		closer   io.Closer
		handler  http.Handler
		counters map[Counter]tally.Counter
		gauges   map[Gauge]tally.Gauge
		timers   map[Timer]tally.Histogram
		results  map[coder.Code]tally.Counter
		tenants  *tenants
	}

	// Counter is the name of a monotonic counter.
	Counter string

	// Gauge is the name of a metric that can go up and down.
	Gauge string

	// Timer is the name of a histogram of durations.
	Timer string
)

const (
	reportInterval = time.Second
	// namespace begins the name of each metric.
	namespace = "galenawharf"

	smallestBucket = 500 * time.Microsecond
	bucketFactor   = 2
	bucketCount    = 16
)

var (
	alphanumericUnderscore = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters}

	// sanitizeOptions allows dashes and dots in tag values, since host names contain them.
	sanitizeOptions = tally.SanitizeOptions{
		NameCharacters:       alphanumericUnderscore,
		KeyCharacters:        alphanumericUnderscore,
		ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
		ReplacementCharacter: tally.DefaultReplacementCharacter,
	}
)

// New returns the metrics of a daemon, tagged with its name and data centre. Counters and
// gauges reach the Prometheus registry once per reportInterval; Close stops that.
func New(daemon, dataCentre string) *Metrics {
	reg := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	tags := map[string]string{"daemon": daemon, "data_centre": dataCentre}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namespace,
		Tags:                   tags,
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		scope: scope, closer: closer, handler: r.HTTPHandler(),
		counters: map[Counter]tally.Counter{},
		gauges:   map[Gauge]tally.Gauge{},
		timers:   map[Timer]tally.Histogram{},
		results:  map[coder.Code]tally.Counter{},
		tenants:  newTenants(reg, tags),
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
	buckets := tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketFactor, bucketCount)
	for _, t := range timers {
		m.timers[t] = m.scope.Histogram(string(t), buckets)
	}
	for _, c := range coder.Codes() {
		m.results[c] = m.scope.Tagged(map[string]string{"code": c.String()}).Counter(string(Results))
	}
}

// Add increments a counter by n.
func (m *Metrics) Add(c Counter, n int64) { m.counters[c].Inc(n) }

// Set updates a gauge to v.
func (m *Metrics) Set(g Gauge, v float64) { m.gauges[g].Update(v) }

// Record adds a duration to a histogram.
func (m *Metrics) Record(t Timer, d time.Duration) { m.timers[t].RecordDuration(d) }

// CountResult counts a finished request under its result code. Unknown codes are ignored.
func (m *Metrics) CountResult(c coder.Code) {
	if r, known := m.results[c]; known {
		r.Inc(1)
	}
}

// Handler returns the HTTP handler that Prometheus scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and stops the reporting goroutine.
func (m *Metrics) Close() { _ = m.closer.Close() }
