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
	// Placer decides on which worker each task runs, and learns from the outcomes and
	// usage of its runs. It is deterministic and not safe for concurrent use.
	Placer struct {
		mechanisms Mechanisms
		index      *index
		learner    *learner.Learner
		estimator  *estimator.Estimator
		quarantine *quarantiner.Quarantiner
		sharer     *sharer.Sharer
		throttler  *throttler.Throttler
		runs       map[string]*run
		// lastServiceSample is the end of the newest sample of a service on each worker.
		lastServiceSample map[string]clock.Millis
		endedRuns         []*run
		// throttledTasks counts the throttled tasks of each worker.
		throttledTasks map[string]int
		// serviceClasses is the set of classes that services have had.
		serviceClasses map[int]bool
		// utilization is the mean processor utilization of the replicas of each class.
		utilization [learner.MaxClasses]float64
		// heldWorker maps a task to the worker that is held for it, heldFor the worker to
		// the hold.
		heldWorker map[string]string
		heldFor    map[string]hold
		// generation counts the calls of sync.
		generation uint64
		// estimates caches the estimates of one round by service or job.
		estimates map[string]estimate

		// effect returns the slowdown that the aggressor class causes to the victim class
		// at a worker load.
		effect func(victim, aggressor int, load float64) learner.Effect
		// grant returns the size to grant to a task.
		grant func(now clock.Millis, t Task) sizer.Size
		// runTime returns the expected run time of a task.
		runTime func(now clock.Millis, t Task) clock.Millis
	}

	// estimate is the expected size and run time of the tasks of one service or job with
	// the same declaration. It is kept until the next call of Place.
	estimate struct {
		declaredSize    sizer.Size
		declaredRunTime clock.Millis
		size            sizer.Size
		runTime         clock.Millis
	}

	// Option configures a Placer.
	Option func(*Placer)
)

// New returns a Placer with every mechanism on unless switched off by options.
func New(opts ...Option) (*Placer, error) {
	p := &Placer{
		mechanisms:        allMechanisms,
		index:             newIndex(),
		runs:              map[string]*run{},
		throttledTasks:    map[string]int{},
		lastServiceSample: map[string]clock.Millis{},
		estimates:         map[string]estimate{},
		serviceClasses:    map[int]bool{},
		heldWorker:        map[string]string{},
		heldFor:           map[string]hold{},
	}
	for _, o := range opts {
		o(p)
	}
	if err := p.setComponents(); err != nil {
		return nil, errors.Wrap(err, "placer.New")
	}
	p.setDefaultFuncs()
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

// WithSharer sets the order of waiting work and the quotas.
func WithSharer(s *sharer.Sharer) Option { return func(p *Placer) { p.sharer = s } }

// WithThrottler sets the throttler that acts on workers with slowed services.
func WithThrottler(t *throttler.Throttler) Option { return func(p *Placer) { p.throttler = t } }

// WithQuarantiner sets how failing workers and jobs are detected and retried.
func WithQuarantiner(q *quarantiner.Quarantiner) Option { return func(p *Placer) { p.quarantine = q } }

// setComponents creates the components that no option has set.
func (p *Placer) setComponents() error {
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

func (p *Placer) setDefaultFuncs() {
	if p.effect == nil {
		p.effect = p.learner.Effect
	}
	if p.grant == nil {
		p.grant = p.grantSize
	}
	if p.runTime == nil {
		p.runTime = p.expectedRunTime
	}
}

// SetQuota sets the most that a team's tasks may be granted in total on this Placer's
// workers.
func (p *Placer) SetQuota(team string, quota sizer.Size) { p.sharer.SetQuota(team, quota) }

// ClearQuota removes a team's quota.
func (p *Placer) ClearQuota(team string) { p.sharer.ClearQuota(team) }

// Parked returns why a service or job is no longer retried until it is changed, and
// whether it is parked.
func (p *Placer) Parked(work string) (quarantiner.Parking, bool) { return p.quarantine.Parked(work) }

// AllParked returns the names of the parked jobs, sorted.
func (p *Placer) AllParked() []string { return p.quarantine.AllParked() }

// Unpark makes a service or job eligible again after it was changed.
func (p *Placer) Unpark(work string) { p.quarantine.Unpark(work) }

// WorkerState returns the quarantine state of a worker, such as quarantiner.Quarantined.
func (p *Placer) WorkerState(name string) string { return p.quarantine.State(name) }

func (p *Placer) grantSize(now clock.Millis, t Task) sizer.Size {
	if !p.mechanisms.has(Estimates) || t.kind == Service {
		return t.size
	}
	return p.estimateFor(now, t).size
}

func (p *Placer) expectedRunTime(now clock.Millis, t Task) clock.Millis {
	if !p.mechanisms.has(Estimates) {
		return t.runTime
	}
	return p.estimateFor(now, t).runTime
}

// estimateFor returns the estimate for a task. The estimate is computed once in a round for
// tasks of the same service or job with the same declaration.
func (p *Placer) estimateFor(now clock.Millis, t Task) estimate {
	g, known := p.estimates[t.work]
	if known && g.declaredSize == t.size && g.declaredRunTime == t.runTime {
		return g
	}
	g = estimate{
		declaredSize: t.size, declaredRunTime: t.runTime,
		size:    p.estimator.Size(now, t.work, t.size),
		runTime: p.estimator.RunTime(now, t.work, t.runTime),
	}
	p.estimates[t.work] = g
	return g
}
