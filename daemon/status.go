package daemon

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Status is the content of a daemon's status page.
	Status struct {
		Daemon      string        `json:"daemon"`
		DataCentre  string        `json:"data-centre"`
		Incarnation int64         `json:"incarnation"`
		Ready       bool          `json:"ready"`
		Waiting     string        `json:"waiting-for,omitempty"`
		Leaving     bool          `json:"leaving"`
		Config      int64         `json:"config-next-offset"`
		InFlight    int64         `json:"requests-in-flight"`
		Shards      []ShardStatus `json:"shards"`
		Peers       []PeerStatus  `json:"peers"`
		// StartsAllowed reports whether the declarations are recent enough for work to
		// start.
		StartsAllowed bool `json:"starts-allowed"`
		// ReachesLog reports whether the daemon reaches the log directly, not through a
		// peer.
		ReachesLog bool `json:"reaches-log"`
		// Unwritten is the number of records that were not read back yet.
		Unwritten int `json:"unwritten-records"`
		// Hosts is the number of known workers.
		Hosts int `json:"workers"`
	}

	// ShardStatus is the state of a shard of this data centre.
	ShardStatus struct {
		Name    string `json:"name"`
		Epoch   int64  `json:"epoch"`
		Holder  string `json:"holder"`
		Owned   bool   `json:"owned-here"`
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
		Unknown int    `json:"unknown"`
	}

	// PeerStatus is the state of a peer as seen by this daemon.
	PeerStatus struct {
		Name       string `json:"name"`
		DataCentre string `json:"data-centre"`
		Live       bool   `json:"live"`
		// Silent is the time since the peer's last heartbeat or response, empty if none was
		// received.
		Silent string `json:"silent-for"`
		Config int64  `json:"config-next-offset"`
	}
)

func (d *Daemon) status() Status {
	s, err := queryCore(d.ctx, d, func(c *core) Status { return c.status() })
	if err != nil {
		return Status{Daemon: d.settings.Name, DataCentre: d.settings.DataCentre, Waiting: err.Error()}
	}
	s.Waiting = d.readyReason()
	s.Ready = s.Waiting == ""
	for _, p := range d.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Name: p.settings.Name, DataCentre: p.settings.DataCentre, Live: d.isLive(p),
			Silent: d.silentFor(p), Config: p.lastResponse.Load().GetView().GetNextOffset(),
		})
	}
	return s
}

func (d *Daemon) silentFor(p *peer) string {
	heard := clock.Millis(p.lastHeardAt.Load())
	if heard == 0 {
		return ""
	}
	return d.now().Sub(heard).Duration().String()
}

func (c *core) status() Status {
	s := Status{
		Daemon: c.d.settings.Name, DataCentre: c.d.settings.DataCentre, Incarnation: c.d.incarnation,
		Leaving: c.d.leaving.Load(), Config: c.state.Next(), InFlight: c.d.inFlight.Load(), StartsAllowed: c.replicator.StartAllowed(c.d.now()),
		ReachesLog: c.d.relayer.ReachesLog(), Unwritten: c.journal.Len(), Hosts: len(c.gatherer.Snapshot().Members(provider.RoleWorker)),
	}
	for _, name := range c.shardNames() {
		n := c.shards[name].keeper.Count()
		_, owned := c.claimer.Authority(name, c.d.now())
		s.Shards = append(s.Shards, ShardStatus{
			Name: name, Epoch: c.claimer.Ledger().Epoch(name), Holder: c.claimer.Ledger().Holder(name),
			Owned: owned, Running: n.Running(), Waiting: n.Waiting(), Unknown: n.Unknown(),
		})
	}
	return s
}

// hostListName stands for the platform's list of hosts where a stream's name is expected.
const hostListName = "hosts"

// readyReason returns why the daemon isn't ready, or "" if it is.
func (d *Daemon) readyReason() string {
	if d.leaving.Load() {
		return "the daemon is leaving"
	}
	missing, err := queryCore(d.ctx, d, func(c *core) string {
		if m := c.unreadStream(); m != "" {
			return m
		}
		if !d.ready.Load() {
			return hostListName
		}
		return ""
	})
	switch {
	case err != nil:
		return err.Error()
	case missing == provider.StreamConfig:
		return "the declarations have not been read to their end"
	case missing == hostListName:
		return "the platform's list of hosts has not been read"
	case missing != "":
		return "the stream " + missing + " has not been read to its end"
	}
	return ""
}

// workStates returns, by name, a description of the state of the services and jobs in
// this data centre.
func (c *core) workStates() map[string]string {
	counts := map[string]keeper.TaskCounts{}
	for _, name := range c.shardNames() {
		for work, n := range c.shards[name].keeper.Counts() {
			counts[work] = counts[work].Add(n)
		}
	}
	states := map[string]string{}
	for work, n := range counts {
		states[work] = n.String() + " in " + c.d.settings.DataCentre
	}
	return states
}
