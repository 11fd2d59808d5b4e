package soaker

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
)

type (
	// tenantConfig is the operator's configuration with tenants, and its earlier versions. It is
	// safe for concurrent use.
	tenantConfig struct {
		log      *imitator.KeyedLog
		mu       sync.Mutex
		versions []configVersion
	}

	// configVersion is a version of the configuration, with the times before and after it was
	// stored.
	configVersion struct {
		began, stored clock.Millis
		tenants       []configTenant
	}

	configTenant struct {
		Name   string    `json:"name"`
		Keys   []string  `json:"api_keys"`
		Weight int       `json:"weight"`
		Cap    tenantCap `json:"cap"`
	}

	tenantCap struct {
		CPU int `json:"cpu"`
		Mem int `json:"mem_mb"`
		GPU int `json:"gpu"`
	}
)

const (
	// configApply is the time within which daemons judge by a new version, as the platform's
	// default.
	configApply = 3 * clock.Second
	// firstVersion is the version of the configuration that daemons find at their start.
	firstVersion = 3
	tenantHost   = "tenants.example"
)

// tenantKey returns the key i of a tenant.
func tenantKey(tenant, i int) string { return fmt.Sprintf("gk-%d-%d-soak", tenant, i) }

func newTenantConfig(l *imitator.KeyedLog) *tenantConfig {
	c := &tenantConfig{log: l}
	var ts []configTenant
	for i := range tenantCount {
		ts = append(ts, configTenant{
			Name: fmt.Sprintf("tenant-%d", i), Weight: tenantWeight, Cap: tenantCap{CPU: tenantCaps[0]},
			Keys: []string{tenantKey(i, keptKey), tenantKey(i, changingKey)},
		})
	}
	c.store(ts)
	return c
}

// change stores a version in which a tenant is changed.
func (c *tenantConfig) change(tenant int, f func(*configTenant)) {
	c.mu.Lock()
	ts := slices.Clone(c.versions[len(c.versions)-1].tenants)
	c.mu.Unlock()
	ts[tenant].Keys = slices.Clone(ts[tenant].Keys)
	f(&ts[tenant])
	c.store(ts)
}

// store stores a version. It isn't called concurrently.
func (c *tenantConfig) store(ts []configTenant) {
	route := func(name, host string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/jobs/", "service": "pool", "max_attempts": 12, "slack_factor": 2, "target_latency_ms": 500, "public": public,
		}
	}
	c.mu.Lock()
	c.versions = append(c.versions, configVersion{began: clock.System(), stored: clock.Never, tenants: ts})
	n := len(c.versions) - 1
	c.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"version": firstVersion + n, "tenants": ts, "limits": map[string]int{"max_body_bytes": 65536},
		"routes": []any{route("r", publicHost, true), route("tenants", tenantHost, false)},
	})
	if err != nil {
		// Can't happen: all fields are plain values.
		panic(err)
	}
	c.log.Put("op", recorder.Item{Key: "config", Value: b})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[n].stored = clock.System()
}

// inForce returns the versions by which a daemon may judge that judges between two times.
func (c *tenantConfig) inForce(from, to clock.Millis) []configVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, end := 0, 0
	for i, v := range c.versions {
		if v.stored <= from-configApply {
			first = i
		}
		if v.began <= to {
			end = i + 1
		}
	}
	return slices.Clone(c.versions[first:end])
}

// keyInForce reports whether all and whether some of the versions that may be in force between two times
// have a key.
func (c *tenantConfig) keyInForce(tenant int, key string, from, to clock.Millis) (all, some bool) {
	all = true
	for _, v := range c.inForce(from, to) {
		has := slices.Contains(v.tenants[tenant].Keys, key)
		all, some = all && has, some || has
	}
	return all, some
}

// highestCap returns the highest cap of a tenant between two times, in thousandths of a core.
func (c *tenantConfig) highestCap(tenant int, from, to clock.Millis) int {
	highest := 0
	for _, v := range c.inForce(from, to) {
		highest = max(highest, v.tenants[tenant].Cap.CPU)
	}
	return highest
}
