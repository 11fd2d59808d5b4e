package daemon

import (
	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/dispatcher"
	"galenawharf.example/galenawharf/gatherer"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/replicator"
)

// stepMembership updates the state of the hosts and passes changes on to the components
// that use it.
func (c *core) stepMembership(now clock.Millis) {
	before := c.gatherer.Snapshot()
	for _, e := range c.gatherer.Step(now) {
		c.handleMemberChange(now, e)
	}
	if now >= c.peersUpdatedAt.Add(c.d.settings.Timing.Heartbeat) {
		c.peersUpdatedAt = now
		c.updatePeers(now)
	}
	if c.gatherer.Snapshot() != before {
		c.setShards()
		c.updateDispatcherView()
	}
}

func (c *core) handleMemberChange(now clock.Millis, e gatherer.Event) {
	if e.Host().Role == provider.RoleWorker {
		c.handleWorkerChange(now, e)
	}
	if e.Host().Role != provider.RoleEntry {
		return
	}
	switch e.Change() {
	case gatherer.ChangeSuspected, gatherer.ChangeDied:
		c.d.logger.Emit(logger.PeerLost, logger.String("peer", e.Host().Name), logger.String("change", string(e.Change())))
	case gatherer.ChangeAlive, gatherer.ChangeRestarted:
		c.d.logger.Emit(logger.PeerBack, logger.String("peer", e.Host().Name), logger.String("change", string(e.Change())))
	case gatherer.ChangeGone, gatherer.ChangeLeaving, gatherer.ChangeReturned:
	}
}

// handleWorkerChange tells the placers of a worker that died, is gone or restarted.
func (c *core) handleWorkerChange(now clock.Millis, e gatherer.Event) {
	switch e.Change() {
	case gatherer.ChangeDied, gatherer.ChangeGone, gatherer.ChangeRestarted:
		for _, s := range c.shards {
			s.placer.Lost(now, e.Host().Name)
		}
	case gatherer.ChangeAlive, gatherer.ChangeSuspected, gatherer.ChangeLeaving, gatherer.ChangeReturned:
	}
}

// noteWorkerAnswer tells the gatherer that a worker has just responded.
func (c *core) noteWorkerAnswer(name string) {
	if m, known := c.gatherer.Snapshot().Member(name); known {
		c.gatherer.RecordContact(c.d.now(), m.Host(), "", false)
	}
}

// updatePeers passes the processes of the other daemons to the claimer and the
// replicator. The claimer gets only the live ones of this data centre that aren't
// leaving.
func (c *core) updatePeers(now clock.Millis) {
	var sameDataCentre []string
	var all []replicator.Peer
	for _, p := range c.d.peers {
		last := p.lastResponse.Load()
		if last == nil {
			continue
		}
		id := claimer.Identity(p.settings.Name, last.GetIncarnation())
		silentFor := now.Sub(clock.Millis(p.lastHeardAt.Load()))
		all = append(all, replicator.Peer{Process: id, DataCentre: p.settings.DataCentre, Dead: silentFor > replicator.DropAfter})
		if p.settings.DataCentre == c.d.settings.DataCentre && !last.GetLeaving() && c.d.isLive(p) {
			sameDataCentre = append(sameDataCentre, id)
		}
	}
	c.claimer.SetPeers(sameDataCentre)
	c.replicator.SetPeers(all)
}

// assignWorkers assigns the workers of the data centre to its shards, by rack.
func (c *core) assignWorkers(shards int) {
	byShard := map[string][]provider.Host{}
	for _, m := range c.gatherer.Snapshot().Workers(c.d.settings.DataCentre) {
		h := m.Host()
		h.Leaving = m.Leaving()
		s := claimer.ShardOf(h.DataCentre, h.Rack, shards)
		byShard[s] = append(byShard[s], h)
	}
	for name, s := range c.shards {
		s.setWorkers(byShard[name])
	}
}

// updateDispatcherView passes the executors, entry hosts, services and data centres to
// the dispatcher.
func (c *core) updateDispatcherView() {
	var executors, entries []provider.Host
	snapshot := c.gatherer.Snapshot()
	for _, m := range snapshot.Members(provider.RoleExecutor) {
		h := m.Host()
		h.Leaving = m.Leaving() || c.state.DataCentreDrained(h.DataCentre) || c.state.HostDrained(h.Name)
		executors = append(executors, h)
	}
	for _, m := range snapshot.Daemons() {
		if m.Phase() != gatherer.PhaseDead && !m.Leaving() {
			entries = append(entries, m.Host())
		}
	}
	c.d.dispatcher.SetView(dispatcher.NewView(executors, entries, c.state.Services(), c.state.DataCentres()))
}
