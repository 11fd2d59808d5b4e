package daemon

import (
	"slices"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/quarantiner"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// shard is the state of one shard of the data centre: the life cycle of its tasks,
	// their placement and their usage for billing.
	shard struct {
		name     string
		keeper   *keeper.Keeper
		placer   *placer.Placer
		meter    *meter.Meter
		capacity map[string]sizer.Size
		teams    []string
		epoch    int64
		// jobVersions has the version of each job's declaration in force.
		jobVersions map[string]int64
		// controlAt is when interference with the services is controlled next.
		controlAt clock.Millis
		// nextUsageAt is the earliest time to write the next usage record.
		nextUsageAt clock.Millis
		// loggedParked are the jobs last logged as parked, loggedQuarantined the workers
		// last logged as quarantined.
		loggedParked      []string
		loggedQuarantined map[string]bool
		emit              func(logger.Event, ...logger.Field)
	}
)

const (
	// usageRetry is how long to wait for an hour's usage record to be read back before
	// writing it again.
	usageRetry = 10 * clock.Second
	// controlInterval is the time between checks of the services for interference by
	// batch tasks.
	controlInterval = 2 * clock.Second
)

func newShard(name string, d *Daemon, r *keeper.Register) (*shard, error) {
	p, err := placer.New()
	if err != nil {
		return nil, err
	}
	return &shard{
		name:        name,
		placer:      p,
		meter:       meter.New(name, meter.WithGrace(d.settings.Timing.BillGrace)),
		capacity:    map[string]sizer.Size{},
		jobVersions: map[string]int64{},
		epoch:       claimer.NoEpoch,
		emit:        d.logger.Emit,

		loggedQuarantined: map[string]bool{},

		keeper: keeper.New(name, d.settings.DataCentre, d.settings.Name, r, keeper.WithPlacer(p.Place)),
	}, nil
}

// setConfig sets the declarations in force. A team's quota is divided evenly among the
// shards of the data centres that aren't drained.
func (s *shard) setConfig(state *declarer.State) {
	s.keeper.SetConfig(state)
	s.unpark(state)
	own, weights := s.quotaPosition(state)
	for _, t := range s.teams {
		s.placer.ClearQuota(t)
	}
	s.teams = s.teams[:0]
	for _, t := range state.Teams() {
		s.teams = append(s.teams, t.Name)
		s.placer.SetQuota(t.Name, sharer.SplitQuota(t.Quota.Size(), weights)[own])
	}
}

// unpark makes the jobs whose declaration changed eligible to run again.
func (s *shard) unpark(state *declarer.State) {
	for _, i := range state.Items(declarer.KindBatchJob) {
		name := i.Key().Name()
		if s.jobVersions[name] != i.Version() {
			s.placer.Unpark(name)
		}
		s.jobVersions[name] = i.Version()
	}
}

// quotaPosition returns the shard's index among the shards of the data centres that aren't
// drained, and the equal weights of these shards. A shard of a drained data centre uses the first one's
// portion, for the tasks that still run there.
func (s *shard) quotaPosition(state *declarer.State) (own int, weights []int64) {
	for _, dc := range state.DataCentres() {
		if state.DataCentreDrained(dc.Name) {
			continue
		}
		for n := range dc.Shards {
			if claimer.ShardName(dc.Name, n) == s.name {
				own = len(weights)
			}
			weights = append(weights, 1)
		}
	}
	if len(weights) == 0 {
		return 0, []int64{1}
	}
	return own, weights
}

func (s *shard) setWorkers(hosts []provider.Host) {
	clear(s.capacity)
	for _, h := range hosts {
		s.capacity[h.Name] = h.Capacity.Size()
	}
	s.keeper.SetHosts(hosts)
}

// apply applies a valid record of the data centre's stream.
func (s *shard) apply(o provider.Offset, r *schema.Record) {
	s.keeper.ApplyEvent(r)
	if t := r.GetTask(); t.GetShard() == s.name {
		s.meter.Apply(int64(o), clock.Millis(r.GetAtMillis()), t)
	}
}

func (s *shard) step(now clock.Millis, a keeper.Authority) keeper.Actions {
	s.epoch = a.Epoch()
	actions := s.keeper.Step(now, a)
	for _, e := range actions.Events() {
		s.handleEvent(e)
	}
	if s.epoch != claimer.NoEpoch && now >= s.controlAt {
		s.controlAt = now.Add(controlInterval)
		s.controlInterference(now)
		s.parkJobs()
		s.logQuarantine()
	}
	return actions
}

// parkJobs keeps the tasks of jobs that can't run from starting until the job's
// declaration changes.
func (s *shard) parkJobs() {
	all := s.placer.AllParked()
	for _, job := range all {
		s.keeper.Park(job)
		if !slices.Contains(s.loggedParked, job) {
			p, _ := s.placer.Parked(job)
			s.emit(logger.JobParked, logger.String("job", job), logger.String("code", p.Code().String()), logger.String("reason", p.Reason()))
		}
	}
	s.loggedParked = all
}

func (s *shard) logQuarantine() {
	for name := range s.capacity {
		now := s.placer.WorkerState(name) == quarantiner.Quarantined
		if now && !s.loggedQuarantined[name] {
			s.emit(logger.WorkQuarantined, logger.String("worker", name))
		}
		s.loggedQuarantined[name] = now
	}
}

// controlInterference throttles or evicts batch tasks that interfere with services.
func (s *shard) controlInterference(now clock.Millis) {
	for _, a := range s.placer.Control(now, s.keeper.Workers()) {
		if a.IsEviction() {
			s.keeper.Evict(a.Task())
			continue
		}
		s.keeper.Throttle(a.Task(), a.Permille())
		s.placer.Throttled(now, a.Task(), a.Permille())
	}
}

// handleEvent passes an event of a task to the placer and the meter.
func (s *shard) handleEvent(e keeper.Event) {
	switch e.Kind() {
	case keeper.EventStarted:
		s.placer.Started(e.At(), e.Task(), e.Worker())
	case keeper.EventEvicted:
		s.placer.Ended(e.At(), e.Task().ID(), placer.Stopped, e.RanFor(), e.Code(), "")
	case keeper.EventEnded:
		s.placer.Ended(e.At(), e.Task().ID(), placerOutcome(e.Code()), e.RanFor(), e.Code(), e.Code().String())
	case keeper.EventUsage:
		s.recordUsage(e)
	}
}

func placerOutcome(c coder.Code) placer.Outcome {
	switch c {
	case coder.OK:
		return placer.Succeeded
	case coder.Failed:
		return placer.Failed
	}
	return placer.Stopped
}

func (s *shard) recordUsage(e keeper.Event) {
	u := e.Usage()
	from, until := e.SampleInterval()
	s.meter.Sample(u.Incarnation.Task, u.Incarnation.Number, from, until, u.Millicores, u.Memory, 0)
	if c, known := s.capacity[e.Worker()]; known {
		s.placer.Observe(e.At(), e.Worker(), c, []placer.Usage{placer.NewUsage(u.Incarnation.Task, from, until, u.Millicores, u.Memory, u.Progress)})
	}
}

// dueUsage returns the usage record of an hour that has ended, or nil. Only the daemon
// that owns the shard writes one, and only once a ledger exists.
func (s *shard) dueUsage(now clock.Millis, billing bool) *schema.Usage {
	if !billing || s.epoch == claimer.NoEpoch || now < s.nextUsageAt {
		return nil
	}
	u := s.meter.Due(now)
	if u == nil {
		return nil
	}
	s.nextUsageAt = now.Add(usageRetry)
	u.Epoch = s.epoch
	return u
}
