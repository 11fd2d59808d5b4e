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
	// shard is what a daemon knows of one shard of its data centre: the lives
	// of its tasks, where they go, and what they cost.
	shard struct {
		name     string
		keeper   *keeper.Keeper
		placer   *placer.Placer
		meter    *meter.Meter
		capacity map[string]sizer.Size
		teams    []string
		epoch    int64
		// versions are those of the jobs in force.
		versions map[string]int64
		// relieveAt is when the services are next looked at.
		relieveAt clock.Millis
		// billAt is when the next usage record may be written.
		billAt clock.Millis
		// parked and quarantined are what was noted in the log lines.
		parked      []string
		quarantined map[string]bool
		emit        func(logger.Event, ...logger.Field)
	}
)

const (
	// billRetry is how long an hour's record is given to be read back.
	billRetry = 10 * clock.Second
	// relieveInterval is the time from one look at the services to the next.
	relieveInterval = 2 * clock.Second
)

func newShard(name string, d *Daemon, r *keeper.Register) (*shard, error) {
	p, err := placer.New()
	if err != nil {
		return nil, err
	}
	return &shard{
		name:     name,
		placer:   p,
		meter:    meter.New(name, meter.WithGrace(d.settings.Timing.BillGrace)),
		capacity: map[string]sizer.Size{},
		versions: map[string]int64{},
		epoch:    claimer.NoEpoch,
		emit:     d.logger.Emit,

		quarantined: map[string]bool{},

		keeper: keeper.New(name, d.settings.DataCentre, d.settings.Name, r, keeper.WithPlacer(p.Place)),
	}, nil
}

// setConfig sets the declarations in force. A team's quota is shared evenly
// among the shards of the data centres that are not taken out.
func (s *shard) setConfig(state *declarer.State) {
	s.keeper.SetConfig(state)
	s.unpark(state)
	own, weights := s.place(state)
	for _, t := range s.teams {
		s.placer.ClearQuota(t)
	}
	s.teams = s.teams[:0]
	for _, t := range state.Teams() {
		s.teams = append(s.teams, t.Name)
		s.placer.SetQuota(t.Name, sharer.Portions(t.Quota.Size(), weights)[own])
	}
}

// unpark lets jobs whose declaration was changed be tried again.
func (s *shard) unpark(state *declarer.State) {
	for _, i := range state.Items(declarer.KindBatchJob) {
		name := i.Key().Name()
		if s.versions[name] != i.Version() {
			s.placer.Unpark(name)
		}
		s.versions[name] = i.Version()
	}
}

// place gives the shard's number among those of the data centres that are not
// taken out, and their weights, which are alike. A shard that is taken out
// itself has the first part, for what still runs.
func (s *shard) place(state *declarer.State) (own int, weights []int64) {
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

// apply takes a record of the data centre's stream that counts.
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
		s.learn(e)
	}
	if s.epoch != claimer.NoEpoch && now >= s.relieveAt {
		s.relieveAt = now.Add(relieveInterval)
		s.relieve(now)
		s.park()
		s.noteQuarantine()
	}
	return actions
}

// park has the tasks of jobs that can't run wait until the job is changed.
func (s *shard) park() {
	all := s.placer.AllParked()
	for _, job := range all {
		s.keeper.Park(job)
		if !slices.Contains(s.parked, job) {
			p, _ := s.placer.Parked(job)
			s.emit(logger.JobParked, logger.String("job", job), logger.String("code", p.Code().String()), logger.String("reason", p.Reason()))
		}
	}
	s.parked = all
}

func (s *shard) noteQuarantine() {
	for name := range s.capacity {
		now := s.placer.WorkerState(name) == quarantiner.Quarantined
		if now && !s.quarantined[name] {
			s.emit(logger.WorkQuarantined, logger.String("worker", name))
		}
		s.quarantined[name] = now
	}
}

// relieve throttles and evicts batch tasks that disturb services.
func (s *shard) relieve(now clock.Millis) {
	for _, a := range s.placer.Control(now, s.keeper.Workers()) {
		if a.Evict() {
			s.keeper.Evict(a.Task())
			continue
		}
		s.keeper.Throttle(a.Task(), a.Permille())
		s.placer.Throttled(now, a.Task(), a.Permille())
	}
}

// learn tells those who decide and bill what a task did.
func (s *shard) learn(e keeper.Event) {
	switch e.Kind() {
	case keeper.EventStarted:
		s.placer.Started(e.At(), e.Task(), e.Worker())
	case keeper.EventEvicted:
		s.placer.Ended(e.At(), e.Task().ID(), placer.Stopped, e.RanFor(), e.Code(), "")
	case keeper.EventEnded:
		s.placer.Ended(e.At(), e.Task().ID(), outcomeOf(e.Code()), e.RanFor(), e.Code(), e.Code().String())
	case keeper.EventUsage:
		s.sampled(e)
	}
}

func outcomeOf(c coder.Code) placer.Outcome {
	switch c {
	case coder.OK:
		return placer.Succeeded
	case coder.Failed:
		return placer.Failed
	}
	return placer.Stopped
}

func (s *shard) sampled(e keeper.Event) {
	u := e.Usage()
	from, until := e.Span()
	s.meter.Sample(u.Incarnation.Task, u.Incarnation.Number, from, until, u.Millicores, u.Memory, 0)
	if c, known := s.capacity[e.Worker()]; known {
		s.placer.Observe(e.At(), e.Worker(), c, []placer.Usage{placer.NewUsage(u.Incarnation.Task, from, until, u.Millicores, u.Memory, u.Progress)})
	}
}

// due gives the usage record of an hour that is over, where the shard is owned
// here and the bill has begun.
func (s *shard) due(now clock.Millis, billing bool) *schema.Usage {
	if !billing || s.epoch == claimer.NoEpoch || now < s.billAt {
		return nil
	}
	u := s.meter.Due(now)
	if u == nil {
		return nil
	}
	s.billAt = now.Add(billRetry)
	u.Epoch = s.epoch
	return u
}
