package placer

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/estimator"
	"galenawharf.example/galenawharf/learner"
	"galenawharf.example/galenawharf/quarantiner"
	"galenawharf.example/galenawharf/sharer"
	"galenawharf.example/galenawharf/sizer"
	"galenawharf.example/galenawharf/throttler"
)

type (
	// Placer decides where work runs, and learns from what comes of it. It is
	// deterministic and used by one goroutine.
	Placer struct {
		mechanisms Mechanisms
		index      *index
		learner    *learner.Learner
		estimator  *estimator.Estimator
		quarantine *quarantiner.Quarantiner
		sharer     *sharer.Sharer
		throttler  *throttler.Throttler
		runs       map[string]*run
		sights     map[string]clock.Millis
		ended      []*run
		// slowed counts the throttled tasks of each worker.
		slowed  map[string]int
		serving map[int]bool
		uses    [learner.MaxClasses]float64
		held    map[string]string
		holders map[string]string
		call    uint64
		guesses map[string]guess

		// effect gives what a class does to another at a load.
		effect func(victim, aggressor int, load float64) learner.Effect
		// grant gives the size to grant to a task.
		grant func(now clock.Millis, t Task) sizer.Size
		// runTime gives how long a task is expected to run.
		runTime func(now clock.Millis, t Task) clock.Millis
	}

	// guess is what is expected in one call of the tasks of a service or job
	// that declare the same.
	guess struct {
		declared sizer.Size
		declares clock.Millis
		size     sizer.Size
		runTime  clock.Millis
	}

	// Option sets up a Placer.
	Option func(*Placer)
)

// New gives a Placer with every mechanism on.
func New(opts ...Option) (*Placer, error) {
	p := &Placer{
		mechanisms: allMechanisms,
		index:      newIndex(),
		runs:       map[string]*run{},
		slowed:     map[string]int{},
		sights:     map[string]clock.Millis{},
		guesses:    map[string]guess{},
		serving:    map[int]bool{},
		held:       map[string]string{},
		holders:    map[string]string{},
	}
	for _, o := range opts {
		o(p)
	}
	if err := p.setParts(); err != nil {
		return nil, errors.Wrap(err, "placer.New")
	}
	p.setSeams()
	return p, nil
}

// Without switches mechanisms off.
func Without(off ...Mechanism) Option {
	return func(p *Placer) {
		for _, m := range off {
			p.mechanisms &^= Mechanisms(m)
		}
	}
}

// WithSharer sets the order of work and the quotas.
func WithSharer(s *sharer.Sharer) Option { return func(p *Placer) { p.sharer = s } }

// WithThrottler sets how disturbed services are relieved.
func WithThrottler(t *throttler.Throttler) Option { return func(p *Placer) { p.throttler = t } }

// WithQuarantiner sets how failing workers and jobs are told apart.
func WithQuarantiner(q *quarantiner.Quarantiner) Option { return func(p *Placer) { p.quarantine = q } }

// setParts makes the parts that were not given.
func (p *Placer) setParts() error {
	var err error
	if p.learner, err = learner.New(); err != nil {
		return err
	}
	if p.estimator, err = estimator.New(); err != nil {
		return err
	}
	if p.quarantine == nil {
		if p.quarantine, err = quarantiner.New(); err != nil {
			return err
		}
	}
	if p.throttler == nil {
		if p.throttler, err = throttler.New(); err != nil {
			return err
		}
	}
	if p.sharer != nil {
		return nil
	}
	var o []sharer.Option
	if !p.mechanisms.has(JobOrder) {
		o = append(o, sharer.WithoutJobOrder())
	}
	p.sharer, err = sharer.New(o...)
	return err
}

func (p *Placer) setSeams() {
	if p.effect == nil {
		p.effect = p.learner.Effect
	}
	if p.grant == nil {
		p.grant = p.estimated
	}
	if p.runTime == nil {
		p.runTime = p.expected
	}
}

// SetQuota sets the most that a team's work may hold on this Placer's workers.
func (p *Placer) SetQuota(team string, quota sizer.Size) { p.sharer.SetQuota(team, quota) }

// ClearQuota lets a team hold any amount.
func (p *Placer) ClearQuota(team string) { p.sharer.ClearQuota(team) }

// Parked gives why a service or job is not tried again until it is changed.
func (p *Placer) Parked(work string) (quarantiner.Parking, bool) { return p.quarantine.Parked(work) }

// AllParked gives the names of the jobs that are not tried again, in order.
func (p *Placer) AllParked() []string { return p.quarantine.AllParked() }

// Unpark lets a service or job be tried again, after it was changed.
func (p *Placer) Unpark(work string) { p.quarantine.Unpark(work) }

// WorkerState gives the state of a worker, such as quarantiner.Quarantined.
func (p *Placer) WorkerState(name string) string { return p.quarantine.State(name) }

func (p *Placer) estimated(now clock.Millis, t Task) sizer.Size {
	if !p.mechanisms.has(Estimates) || t.kind == Service {
		return t.size
	}
	return p.guess(now, t).size
}

func (p *Placer) expected(now clock.Millis, t Task) clock.Millis {
	if !p.mechanisms.has(Estimates) {
		return t.runTime
	}
	return p.guess(now, t).runTime
}

// guess looks an estimate up once in a call for all tasks that are alike.
func (p *Placer) guess(now clock.Millis, t Task) guess {
	g, known := p.guesses[t.work]
	if known && g.declared == t.size && g.declares == t.runTime {
		return g
	}
	g = guess{
		declared: t.size, declares: t.runTime,
		size:    p.estimator.Size(now, t.work, t.size),
		runTime: p.estimator.RunTime(now, t.work, t.runTime),
	}
	p.guesses[t.work] = g
	return g
}
