package daemon

import (
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/provider"
)

type (
	// Status is the status page of a daemon.
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
		// StartsAllowed tells whether the declarations are fresh enough for
		// work to start.
		StartsAllowed bool `json:"starts-allowed"`
		// ReachesLog tells whether the log was last reached directly.
		ReachesLog bool `json:"reaches-log"`
		// Unwritten is the number of records that were not read back yet.
		Unwritten int `json:"unwritten-records"`
		// Hosts is the number of workers known.
		Hosts int `json:"workers"`
	}

	// ShardStatus is a shard of the own data centre.
	ShardStatus struct {
		Name    string `json:"name"`
		Epoch   int64  `json:"epoch"`
		Holder  string `json:"holder"`
		Owned   bool   `json:"owned-here"`
		Running int    `json:"running"`
		Waiting int    `json:"waiting"`
		Unknown int    `json:"unknown"`
	}

	// PeerStatus is a peer as the daemon sees it.
	PeerStatus struct {
		Name       string `json:"name"`
		DataCentre string `json:"data-centre"`
		Live       bool   `json:"live"`
		// Silent is for how long it was not heard, empty where it never was.
		Silent string `json:"silent-for"`
		Config int64  `json:"config-next-offset"`
	}
)

func (d *Daemon) status() Status {
	s, err := within(d.ctx, d, func(c *core) Status { return c.status() })
	if err != nil {
		return Status{Daemon: d.settings.Name, DataCentre: d.settings.DataCentre, Waiting: err.Error()}
	}
	s.Waiting = d.readyReason()
	s.Ready = s.Waiting == ""
	for _, p := range d.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Name: p.settings.Name, DataCentre: p.settings.DataCentre, Live: d.live(p),
			Silent: d.silence(p), Config: p.last.Load().GetView().GetNextOffset(),
		})
	}
	return s
}

func (d *Daemon) silence(p *peer) string {
	heard := clock.Millis(p.heard.Load())
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
	for _, name := range c.names() {
		n := c.shards[name].keeper.Count()
		_, owned := c.claimer.Authority(name, c.d.now())
		s.Shards = append(s.Shards, ShardStatus{
			Name: name, Epoch: c.claimer.Ledger().Epoch(name), Holder: c.claimer.Ledger().Holder(name),
			Owned: owned, Running: n.Running(), Waiting: n.Waiting(), Unknown: n.Unknown(),
		})
	}
	return s
}

// hostList stands for the platform's list of hosts where streams are named.
const hostList = "hosts"

// readyReason gives for what the daemon waits before it serves, or "".
func (d *Daemon) readyReason() string {
	if d.leaving.Load() {
		return "the daemon is leaving"
	}
	missing, err := within(d.ctx, d, func(c *core) string {
		if m := c.missing(); m != "" {
			return m
		}
		if !d.ready.Load() {
			return hostList
		}
		return ""
	})
	switch {
	case err != nil:
		return err.Error()
	case missing == provider.StreamConfig:
		return "the declarations have not been read to their end"
	case missing == hostList:
		return "the platform's list of hosts has not been read"
	case missing != "":
		return "the stream " + missing + " has not been read to its end"
	}
	return ""
}

// workStates gives the state of services and jobs in the own data centre, by
// name, in words.
func (c *core) workStates() map[string]string {
	counts := map[string]keeper.Count{}
	for _, name := range c.names() {
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
