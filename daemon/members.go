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

// stepMembers judges the hosts, and shows them to whoever decides by them.
func (c *core) stepMembers(now clock.Millis) {
	before := c.gatherer.Snapshot()
	for _, e := range c.gatherer.Step(now) {
		c.noteMember(now, e)
	}
	if now >= c.toldPeersAt.Add(c.d.settings.Timing.Heartbeat) {
		c.toldPeersAt = now
		c.tellPeers(now)
	}
	if c.gatherer.Snapshot() != before {
		c.setShards()
		c.setView()
	}
}

func (c *core) noteMember(now clock.Millis, e gatherer.Event) {
	if e.Host().Role == provider.RoleWorker {
		c.noteWorker(now, e)
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

// noteWorker has the placer drop what it knows of a worker that is gone.
func (c *core) noteWorker(now clock.Millis, e gatherer.Event) {
	switch e.Change() {
	case gatherer.ChangeDied, gatherer.ChangeGone, gatherer.ChangeRestarted:
		for _, s := range c.shards {
			s.placer.Lost(now, e.Host().Name)
		}
	case gatherer.ChangeAlive, gatherer.ChangeSuspected, gatherer.ChangeLeaving, gatherer.ChangeReturned:
	}
}

// heardWorker notes that a worker answered.
func (c *core) heardWorker(name string) {
	if m, known := c.gatherer.Snapshot().Member(name); known {
		c.gatherer.Heard(c.d.now(), m.Host(), "", false)
	}
}

// tellPeers shows the other daemons' processes to those who agree with them.
func (c *core) tellPeers(now clock.Millis) {
	var near []string
	var all []replicator.Peer
	for _, p := range c.d.peers {
		last := p.last.Load()
		if last == nil {
			continue
		}
		id := claimer.Identity(p.settings.Name, last.GetIncarnation())
		silent := now.Sub(clock.Millis(p.heard.Load()))
		all = append(all, replicator.Peer{Process: id, DataCentre: p.settings.DataCentre, Dead: silent > replicator.DropAfter})
		if p.settings.DataCentre == c.d.settings.DataCentre && !last.GetLeaving() && c.d.live(p) {
			near = append(near, id)
		}
	}
	c.claimer.SetPeers(near)
	c.replicator.SetPeers(all)
}

// spreadWorkers gives each shard its workers.
func (c *core) spreadWorkers(shards int) {
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

// setView shows the request path what executors and services there are.
func (c *core) setView() {
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
