package runner

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/platform"
	"galenawharf.example/galenawharf/scheduler"
)

// configAge returns how long ago the configuration was certainly as it is known here.
func (r *Runner) configAge() clock.Millis {
	at := clock.Millis(r.operatorReadAt.Load())
	if at == 0 {
		return clock.Never
	}
	return r.now() - at
}

// applyConfig puts the operator's configuration in force if it is newer than the current one.
func (r *Runner) applyConfig() {
	b := platform.ConfigOf(r.operatorItems)
	if len(b) == 0 {
		return
	}
	c, err := platform.DecodeConfig(b, platform.WithKeysRequired(r.settings.Load().HasContract(platform.TenantsContract)))
	if err != nil {
		r.oddRecords.Emit(logger.EntryInvalid, logger.String("key", "config"), logger.Err(err))
		return
	}
	former := r.ingress.Config()
	if !r.ingress.SetConfig(c) {
		return
	}
	r.log.Emit(logger.ConfigInForce, logger.Int("version", c.Version()), logger.Int("tenants", int64(len(c.Tenants()))))
	r.metrics.Set(measurer.ConfigVersion, float64(c.Version()))
	for _, n := range c.InvalidTenants() {
		r.oddRecords.Emit(logger.EntryInvalid, logger.String("key", "config"), logger.String("tenant", n))
	}
	logTenants(r.log.Emit, former, c)
}

// logTenants logs the tenants that a configuration adds and removes, with the number of keys that
// they have or had. Nothing is logged for the first configuration that a host reads, whose
// tenants have been there before.
func logTenants(emit func(logger.Event, ...logger.Field), former, c *platform.Config) {
	if former == nil {
		return
	}
	logMissing := func(e logger.Event, from, in *platform.Config) {
		present := map[string]bool{}
		for _, t := range in.Tenants() {
			present[t.Name] = true
		}
		for _, t := range from.Tenants() {
			if !present[t.Name] {
				emit(e, logger.String("tenant", t.Name), logger.Int("keys", int64(from.Authenticator().Keys(t.Name))))
			}
		}
	}
	logMissing(logger.TenantAdded, c, former)
	logMissing(logger.TenantRemoved, former, c)
}

// tenants returns the tenants of the configuration in force; none without a configuration.
func (r *Runner) tenants() []scheduler.Tenant {
	c := r.ingress.Config()
	if c == nil {
		return nil
	}
	return c.Tenants()
}

// passOperatorItems passes the operator's records in force to the conductor of this host. The
// follower and a new term call it concurrently; the lock keeps one of them from passing older
// records after the other has passed newer ones.
func (r *Runner) passOperatorItems(c *conductor.Conductor) {
	r.operatorMu.Lock()
	defer r.operatorMu.Unlock()
	c.SetEvacuated(*r.evacuated.Load())
	c.SetWaves(*r.waves.Load())
	c.SetTenants(r.tenants())
}
