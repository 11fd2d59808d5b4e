package measurer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/shoenig/test/must"
)

// tenantSeries scrapes m and returns the values of a metric by tenant. It fails if the answer breaks the
// exposition format.
func tenantSeries(t *testing.T, m *Metrics, name string) map[string]float64 {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(w.Body)
	must.NoError(t, err)
	values := map[string]float64{}
	for _, s := range families["galenawharf_"+name].GetMetric() {
		labels := map[string]string{}
		for _, l := range s.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		must.Eq(t, "entry-1", labels["daemon"])
		must.Eq(t, "a", labels["data_centre"])
		values[labels["tenant"]] = s.GetGauge().GetValue() + s.GetCounter().GetValue()
	}
	return values
}

func waitingTenants(first, n int) (ts []Tenant) {
	for i := range n {
		ts = append(ts, Tenant{Name: fmt.Sprintf("t%04d", first+i), Waiting: 1})
	}
	return ts
}

// TestTenantSeries guards against series of tenants that are gone, or of a former leader, and go on
// showing their last value, and against more series than the bound.
func TestTenantSeries(t *testing.T) {
	tests := map[string]struct {
		reports [][]Tenant
		metric  Gauge
		// want has some of the series, series is the number of all.
		want   map[string]float64
		series int
	}{
		"running":    {reports: [][]Tenant{{{Name: "a", Running: 0.5}, {Name: "b", Running: 1}}}, metric: TenantRunning, want: map[string]float64{"a": 0.5, "b": 1, "other": 0}, series: 3},
		"share":      {reports: [][]Tenant{{{Name: "a", Share: 1.5}}}, metric: TenantShare, want: map[string]float64{"a": 1.5}, series: 2},
		"waiting":    {reports: [][]Tenant{{{Name: "a", Waiting: 7}}}, metric: TenantWaiting, want: map[string]float64{"a": 7}, series: 2},
		"one gone":   {reports: [][]Tenant{{{Name: "a", Waiting: 7}, {Name: "b", Waiting: 8}}, {{Name: "b", Waiting: 9}}}, metric: TenantWaiting, want: map[string]float64{"a": 0, "b": 9}, series: 3},
		"not leader": {reports: [][]Tenant{{{Name: "a", Waiting: 7}}, nil}, metric: TenantWaiting, want: map[string]float64{"a": 0, "other": 0}, series: 2},
		"back":       {reports: [][]Tenant{{{Name: "a", Waiting: 7}}, nil, {{Name: "a", Waiting: 3}}}, metric: TenantWaiting, want: map[string]float64{"a": 3}, series: 2},
		"as many as have series": {reports: [][]Tenant{waitingTenants(0, 300)}, metric: TenantWaiting,
			want: map[string]float64{"t0000": 1, "t0299": 1, "other": 0}, series: 301},
		"more than have series": {reports: [][]Tenant{waitingTenants(0, 305)}, metric: TenantWaiting,
			want: map[string]float64{"t0000": 1, "t0299": 1, "other": 5}, series: 301},
		"others leave": {reports: [][]Tenant{waitingTenants(0, 305), waitingTenants(0, 300)}, metric: TenantWaiting,
			want: map[string]float64{"t0000": 1, "t0299": 1, "other": 0}, series: 301},
		"all replaced": {reports: [][]Tenant{waitingTenants(0, 300), waitingTenants(1000, 301)}, metric: TenantWaiting,
			want: map[string]float64{"t1000": 1, "t1299": 1, "other": 1}, series: 301},
		"kept while others come and go": {reports: [][]Tenant{waitingTenants(100, 300), waitingTenants(0, 400)}, metric: TenantWaiting,
			want: map[string]float64{"t0100": 1, "t0399": 1, "other": 100}, series: 301},
		"named other": {reports: [][]Tenant{{{Name: "a", Waiting: 7}, {Name: "other", Waiting: 2}}}, metric: TenantWaiting, want: map[string]float64{"a": 7, "other": 2}, series: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := New("entry-1", "a")
			defer m.Close()
			for _, ts := range tt.reports {
				m.SetTenants(ts)
			}
			got := tenantSeries(t, m, string(tt.metric))
			must.MapLen(t, tt.series, got)
			for tenant, v := range tt.want {
				g, ok := got[tenant]
				must.True(t, ok, must.Sprint(tenant))
				must.Eq(t, v, g, must.Sprint(tenant))
			}
		})
	}
}

// TestTenantNames guards against a name that breaks the exposition format or meets another name's series.
func TestTenantNames(t *testing.T) {
	tests := map[string]struct{ name, label string }{
		"quote":       {name: `a"} 1`, label: `a"} 1`},
		"newline":     {name: "a\n# TYPE b counter", label: "a\n# TYPE b counter"},
		"backslash":   {name: `a\`, label: `a\`},
		"empty":       {name: "", label: ""},
		"no UTF-8":    {name: "a\xff", label: "a\uFFFD"},
		"other words": {name: "équipe 1/ø", label: "équipe 1/ø"},
		"long":        {name: strings.Repeat("n", 10_000), label: strings.Repeat("n", 10_000)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := New("entry-1", "a")
			defer m.Close()
			m.SetTenants([]Tenant{{Name: tt.name, Waiting: 4}, {Name: "a", Waiting: 5}})
			m.CountTenantRefused(tt.name)
			must.Eq(t, map[string]float64{tt.label: 4, "a": 5, "other": 0}, tenantSeries(t, m, string(TenantWaiting)))
			must.Eq(t, map[string]float64{tt.label: 1}, tenantSeries(t, m, string(TenantRefused)))
		})
	}
}

// TestTenantRefused checks that refusals are counted by tenant, and under other once the series are used
// up, and that a count is not lost while its tenant is gone for a while.
func TestTenantRefused(t *testing.T) {
	m := New("entry-1", "a")
	defer m.Close()
	m.SetTenants(waitingTenants(0, 302))
	for _, tenant := range []string{"t0000", "t0000", "t0300", "t0301", "t0301", "unknown"} {
		m.CountTenantRefused(tenant)
	}
	m.SetTenants(nil)
	m.SetTenants(waitingTenants(0, 300))
	m.CountTenantRefused("t0000")
	must.Eq(t, map[string]float64{"t0000": 3, "other": 4}, tenantSeries(t, m, string(TenantRefused)))
}
