package measurer

import (
	"strings"
	"sync"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
)

type (
	// Tenant is what a tenant holds and waits for.
	Tenant struct {
		Name string
		// Running is what it holds as a fraction of its cap, Share its dominant share as a
		// fraction of its fair share.
		Running, Share float64
		// Waiting is the number of its tasks that wait.
		Waiting int
	}

	// tenants are the series by tenant. They aren't kept by tally, which replaces characters in
	// names and never drops a series.
	tenants struct {
		mu      sync.Mutex
		gauges  map[Gauge]*prom.GaugeVec
		refused *prom.CounterVec
		// own has the tenants with series of their own, and whether they still exist.
		own map[string]bool
	}
)

const (
	// maxTenantSeries bounds the tenants with series of their own; from docs/design/tenants.md.
	maxTenantSeries = 300
	// otherTenants is the label of the sums over all other tenants, among them one of this name.
	otherTenants = "other"
	tenantLabel  = "tenant"
)

// newTenants registers the series by tenant, with the tags of the daemon's other metrics.
func newTenants(r prom.Registerer, tags map[string]string) *tenants {
	labels, sanitizer := prom.Labels{}, tally.NewSanitizer(sanitizeOptions)
	for k, v := range tags {
		labels[k] = sanitizer.Value(v)
	}
	t := &tenants{gauges: map[Gauge]*prom.GaugeVec{}, own: map[string]bool{}}
	for _, g := range tenantGauges {
		t.gauges[g] = prom.NewGaugeVec(prom.GaugeOpts{Namespace: namespace, Name: string(g), Help: string(g), ConstLabels: labels}, []string{tenantLabel})
		r.MustRegister(t.gauges[g])
	}
	t.refused = prom.NewCounterVec(prom.CounterOpts{Namespace: namespace, Name: string(TenantRefused), Help: string(TenantRefused), ConstLabels: labels}, []string{tenantLabel})
	r.MustRegister(t.refused)
	return t
}

// SetTenants updates the gauges of all tenants. Those of tenants that aren't listed become 0.
func (m *Metrics) SetTenants(ts []Tenant) {
	t := m.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.own {
		t.own[name] = false
	}
	for _, n := range ts {
		if name := labelOf(n.Name); t.has(name) {
			t.own[name] = true
		}
	}
	sums := map[string]Tenant{otherTenants: {}}
	for _, n := range ts {
		name := t.series(labelOf(n.Name))
		s := sums[name]
		sums[name] = Tenant{Running: s.Running + n.Running, Share: s.Share + n.Share, Waiting: s.Waiting + n.Waiting}
	}
	for name, exists := range t.own {
		if !exists {
			sums[name] = Tenant{}
		}
	}
	for name, s := range sums {
		t.gauges[TenantRunning].WithLabelValues(name).Set(s.Running)
		t.gauges[TenantShare].WithLabelValues(name).Set(s.Share)
		t.gauges[TenantWaiting].WithLabelValues(name).Set(float64(s.Waiting))
	}
}

// CountTenantRefused counts a job of a tenant that was refused by rate.
func (m *Metrics) CountTenantRefused(name string) {
	t := m.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused.WithLabelValues(t.series(labelOf(name))).Inc()
}

func (t *tenants) has(name string) bool {
	_, ok := t.own[name]
	return ok
}

// series returns the label of a tenant's series. A tenant without any gets series of its own if there
// are fewer than maxTenantSeries, or in place of those of a tenant that no longer exists.
func (t *tenants) series(name string) string {
	if name == otherTenants || t.has(name) {
		return name
	}
	if len(t.own) >= maxTenantSeries && !t.dropGone() {
		return otherTenants
	}
	t.own[name] = true
	return name
}

// dropGone drops the series of one tenant that no longer exists, and reports whether there was one.
func (t *tenants) dropGone() bool {
	for name, exists := range t.own {
		if exists {
			continue
		}
		delete(t.own, name)
		for _, g := range t.gauges {
			g.DeleteLabelValues(name)
		}
		t.refused.DeleteLabelValues(name)
		return true
	}
	return false
}

// labelOf returns the label value of a tenant. The format requires UTF-8; it escapes everything else.
func labelOf(name string) string { return strings.ToValidUTF8(name, "\uFFFD") }
