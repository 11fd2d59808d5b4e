package soaker

import (
	"fmt"
	"net/http"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// TenantCounts are the numbers of what happened to the tenants.
type TenantCounts struct {
	// Accepted are jobs, KeyChanges are keys that were withdrawn or returned.
	Accepted, KeyChanges int
	// UnknownRefused are refused calls without a key or with one that no version has ever had,
	// WithdrawnRefused those with a key that was withdrawn, KeyAccepted are accepted calls with a key
	// in force.
	UnknownRefused, WithdrawnRefused, KeyAccepted int
	// MostHeld is the most that one tenant had running, in thousandths of a core, OverCap is how
	// often that was too much after a start.
	MostHeld, OverCap int
}

const (
	// calmCalls is the number of calls to each host in a calm time, with a key that was withdrawn
	// and again after it was returned.
	calmCalls = 2
	// calmMargin is added to waits for configApply, as the clock has milliseconds.
	calmMargin = 50 * clock.Millis(1)
	// maxCalmWait bounds the wait for a calm time after the faults: late orders, the start of a leader
	// and the time that has to be calm before.
	maxCalmWait = 20 * clock.Second
	// minKeyCalls is the floor of calls with a key: a fifth of those of one calm check, as any call may
	// be refused for another reason on a slow machine.
	minKeyCalls = 2
)

func (c *TenantCounts) String() string {
	return fmt.Sprintf("tenants: %d jobs accepted, %d key changes, %d calls with an unknown key refused, %d with a withdrawn key refused, %d with a key in force accepted; at most %d thousandths of a core held, %d times over the cap",
		c.Accepted, c.KeyChanges, c.UnknownRefused, c.WithdrawnRefused, c.KeyAccepted, c.MostHeld, c.OverCap)
}

func (c *TenantCounts) noteHeld(held int, excess bool) {
	c.MostHeld = max(c.MostHeld, held)
	if excess {
		c.OverCap++
	}
}

// floors returns the floors of a soak test with tenants. All follow from the calm checks, but that of
// MostHeld: a tenant always has more tasks than its cap lets run.
func (c *TenantCounts) floors() []floor {
	if c == nil {
		return nil
	}
	return []floor{
		{"jobs of tenants accepted", c.Accepted, tenantCount},
		{"key changes", c.KeyChanges, 2},
		{"calls with an unknown key refused", c.UnknownRefused, minKeyCalls},
		{"calls with a withdrawn key refused", c.WithdrawnRefused, minKeyCalls},
		{"calls with a key in force accepted", c.KeyAccepted, minKeyCalls},
		{"most held by a tenant", c.MostHeld, tenantCaps[0]},
	}
}

func (t *tenants) count(f func(*TenantCounts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.counts)
}

// judge checks the answer to a call with a key of a tenant. A key that has been in force for configApply
// is refused by no host; one that has been withdrawn for that long may be accepted by a host that is cut
// off from the store, so that it is judged in calm times only.
func (t *tenants) judge(method string, tenant int, key, id string, status int, sent clock.Millis) {
	all, some := t.config.keyInForce(tenant, key, sent, clock.System())
	accepted := status == http.StatusOK || status == http.StatusGone
	switch {
	case all && status == http.StatusUnauthorized:
		t.violate("%s %s of tenant %d was refused at %s although its key is in force", method, id, tenant, sent)
	case all && accepted:
		t.count(func(c *TenantCounts) { c.KeyAccepted++ })
	case !some && accepted && t.k.disruptions.Calm(sent-configApply):
		t.violate("%s %s of tenant %d was answered with %d at %s although its key was withdrawn", method, id, tenant, status, sent)
	case !some && status == http.StatusUnauthorized:
		t.count(func(c *TenantCounts) { c.WithdrawnRefused++ })
	}
}

// checkCalm withdraws a key and returns it in a calm time, and calls every host with it once each of
// these has to be in effect. No other change is made meanwhile.
func (t *tenants) checkCalm() {
	for end := time.Now().Add(maxCalmWait.Duration()); !t.k.disruptions.Calm(clock.System()) && time.Now().Before(end); {
		time.Sleep(pollInterval.Duration())
	}
	const tenant = 0
	key := tenantKey(tenant, changingKey)
	for _, present := range []bool{false, true} {
		t.config.change(tenant, func(c *configTenant) { t.setKey(c, tenant, present) })
		time.Sleep((configApply + calmMargin).Duration())
		for range calmCalls {
			for _, h := range t.k.hosts {
				sent, id := clock.System(), tenantJob(tenant, 0)
				status := t.k.callers.send(request{method: http.MethodGet, address: h.address, host: tenantHost, key: key, id: id}, nil)
				t.judge(http.MethodGet, tenant, key, id, status, sent)
			}
		}
	}
}

// endChanges ends the changes of keys and caps, with all keys returned.
func (t *tenants) endChanges() {
	close(t.stopChanges)
	t.changes.Wait()
	for i := range tenantCount {
		t.config.change(i, func(c *configTenant) { t.setKey(c, i, true) })
	}
}
