// Package runner puts together the daemon of one host on the platform: the servers
// of callers, peers and the balancer, the watch on the operator, the election, and
// the conductor while this host leads.
package runner

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/adviser"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/conductor"
	"galenawharf.example/galenawharf/depositor"
	"galenawharf.example/galenawharf/elector"
	"galenawharf.example/galenawharf/forwarder"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/platform"
	"galenawharf.example/galenawharf/recorder"
	"galenawharf.example/galenawharf/scheduler"
)

type (
	// Runner is the daemon of one host.
	Runner struct {
		settings atomic.Pointer[platform.Settings]
		log      *logger.Logger
		metrics  *measurer.Metrics
		now      func() clock.Millis
		store    recorder.Store
		workers  *platform.Workers

		life    *fsm.FSM
		ingress *platform.Ingress
		forward *forwarder.Forwarder
		elector *elector.Elector
		follow  *recorder.Follower
		// operator has the newest records of the operator; used by the follower only.
		operator  map[string][]byte
		adviser   *adviser.Adviser
		cloud     *http.Client
		evacuated atomic.Pointer[[]string]
		// storeRead is when the store last answered a read in time, 0 since one has failed
		// or was slow.
		storeRead atomic.Int64
		waves     atomic.Pointer[[]scheduler.Wave]
		leaving   atomic.Bool
		servers   []*http.Server
	}
)

const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateStopped  = "stopped"

	// storeConnections bounds those to the store: the reads that wait for the
	// operator and for the leader's claim, the registry, the jobs and the claim.
	storeConnections = 6
	// policyConnections bounds those to the service that advises, which answers a host
	// one question at a time.
	policyConnections = 1
	// cloudConnections bounds those to the service for machines: a listing and orders.
	cloudConnections = 4
	// peerConnections bounds those to the leader.
	peerConnections = 16
	// operatorWait is how long the store holds a read of the operator's records. A
	// connection that has gone silent shows after it, well within the bound for
	// changes of the configuration.
	operatorWait = clock.Second
	// slowStore is the time of an answer from which the store is taken to be slow: it
	// usually takes 4 ms, and does one append after the other.
	slowStore = 80 * clock.Millis(1)
	// headerLimit bounds the reading of a request's header, as the platform does.
	headerLimit = 3 * clock.Second
	// rotationDelay is how long new callers still come after this host reports that
	// it is leaving: two questions of the balancer, one a second, and their answers.
	rotationDelay = 2200 * clock.Millis(1)
	// stopReserve is left of the grace period for the end of the process.
	stopReserve = 800 * clock.Millis(1)
	// leaseLimit bounds the lease: long enough for a takeover (two seconds) and the
	// first reports after it, short enough that the tasks of a lost worker soon start
	// elsewhere.
	leaseLimit = 6 * clock.Second
)

// New starts the daemon.
func New(s *platform.Settings, l *logger.Logger) (*Runner, error) {
	r := &Runner{
		log: l, metrics: measurer.New(s.Host(), s.DataCentre()), now: clock.NewSteady(), operator: map[string][]byte{},
		store:   platform.NewStore(s.Store(), platform.NewClient(storeConnections)).Seam(),
		workers: platform.NewWorkers(s.Descriptors()),
		cloud:   platform.NewClient(cloudConnections),
	}
	r.life = fsm.NewFSM(stateStarting, fsm.Events{
		{Name: stateServing, Src: []string{stateStarting}, Dst: stateServing},
		{Name: stateLeaving, Src: []string{stateStarting, stateServing}, Dst: stateLeaving},
		{Name: stateStopped, Src: []string{stateLeaving}, Dst: stateStopped},
	}, fsm.Callbacks{
		"enter_" + stateServing: func(context.Context, *fsm.Event) { l.Emit(logger.Ready) },
		"enter_" + stateLeaving: func(context.Context, *fsm.Event) { l.Emit(logger.Leaving) },
		"enter_" + stateStopped: func(context.Context, *fsm.Event) { l.Emit(logger.Stopped) },
	})
	r.settings.Store(s)
	r.evacuated.Store(&[]string{})
	r.waves.Store(&[]scheduler.Wave{})
	deposits := depositor.New(r.store, r.now, func() clock.Millis { return clock.Millis(r.storeRead.Load()) })
	r.forward = forwarder.New(func() *elector.Elector { return r.elector }, platform.NewClient(peerConnections), r.now, deposits.Deposit, l.Emit)
	r.ingress = platform.NewIngress(r.answer, l.Emit)
	life := strconv.FormatInt(int64(clock.System()), 36) + "-" + s.Peers()
	r.elector = elector.New(r.store, s.Host(), s.Peers(), life, r.lead, elector.WithClock(r.now), elector.WithCores(s.Cores()), elector.WithEvents(l.Emit))
	store := &dependency{now: r.now, emit: l.Emit, lost: logger.StoreLost, back: logger.StoreBack}
	r.follow = recorder.Follow(r.store, platform.OperatorTopic, recorder.PollTiming{Wait: operatorWait}, recorder.Callbacks{
		Reset: func(m map[string][]byte) { r.operator = m; r.operate() },
		Change: func(items []recorder.Item) {
			for _, i := range items {
				if len(i.Value) == 0 {
					delete(r.operator, i.Key)
					continue
				}
				r.operator[i.Key] = i.Value
			}
			r.operate()
		},
		Read: func(delay clock.Millis) {
			at := r.now()
			if delay > slowStore {
				at = 0
			}
			r.storeRead.Store(int64(at))
			store.succeeded()
		},
		Failed: func(err error) {
			r.storeRead.Store(0)
			store.failed(err)
		},
	})
	policy := platform.NewPolicy(s.Advice(), platform.NewClient(policyConnections))
	r.adviser = adviser.New(adviser.Funcs{Enabled: r.advised, Next: r.forward.Consult, Ask: policy.Ask})
	if err := r.serve(); err != nil {
		r.Close()
		return nil, errors.Wrap(err, "runner.New")
	}
	return r, nil
}

// serve opens the servers.
func (r *Runner) serve() error {
	settings := r.settings.Load()
	for address, h := range map[string]http.Handler{
		settings.Callers(): r.ingress,
		settings.Peers():   r.peers(),
		settings.Ready():   http.HandlerFunc(r.ready),
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "runner.Runner.serve")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit.Duration()}
		r.servers = append(r.servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				r.log.Emit(logger.RequestFailed, logger.Err(err))
			}
		}()
	}
	return nil
}

// advised reports whether the steps of any queue need a policy's advice.
func (r *Runner) advised() bool {
	c := r.ingress.Config()
	return r.settings.Load().Advice() != "" && c != nil && c.Advised()
}

// ready answers the balancer: this host takes callers while it knows the
// configuration and a leader.
func (r *Runner) ready(w http.ResponseWriter, q *http.Request) {
	leader, _ := r.elector.Leader()
	switch {
	case q.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case r.leaving.Load() || r.ingress.Config() == nil || leader == "" || !r.forward.Reachable(q.Context(), r.storeRead.Load() == 0):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		if r.life.Can(stateServing) {
			// Two questions at once may both find it possible; the second is a no-op.
			_ = r.life.Event(q.Context(), stateServing)
		}
		w.WriteHeader(http.StatusOK)
	}
}

// operate puts in force what the operator has written.
func (r *Runner) operate() {
	if b := platform.ConfigOf(r.operator); len(b) > 0 {
		c, err := platform.DecodeConfig(b)
		if err != nil {
			r.log.Emit(logger.EntryInvalid, logger.String("key", "config"), logger.Err(err))
		} else if r.ingress.SetConfig(c) {
			r.log.Emit(logger.ConfigInForce, logger.Int("version", c.Version()))
			r.metrics.Set(measurer.ConfigVersion, float64(c.Version()))
		}
	}
	e := platform.EvacuatedOf(r.operator)
	r.evacuated.Store(&e)
	w, invalid := platform.WavesOf(r.operator)
	for _, k := range invalid {
		r.log.Emit(logger.EntryInvalid, logger.String("key", k))
	}
	r.waves.Store(&w)
	if c := r.forward.Leading(); c != nil {
		c.SetEvacuated(e)
		c.SetWaves(w)
	}
}

// lead conducts for one term.
func (r *Runner) lead(ctx context.Context, t elector.Term) {
	settings := r.settings.Load()
	lease := min(settings.Lease(), leaseLimit)
	s := scheduler.New(
		scheduler.WithClocks(r.now, clock.System), scheduler.WithEvents(r.log.Emit),
		scheduler.WithLease(lease), scheduler.WithRetention(settings.Retention()),
		scheduler.WithBegun(func(d clock.Millis) { r.metrics.Record(measurer.FirstStartTime, d.Duration()) }),
		scheduler.WithHarmLimit(settings.HarmLimit()), scheduler.WithRemoteFactor(settings.RemoteFactor()),
		scheduler.WithUpkeepLength(settings.UpkeepLength()),
	)
	s.SetEvacuated(*r.evacuated.Load())
	var cloud conductor.Cloud
	if settings.Cloud() != "" {
		cloud = platform.NewCloud(settings.Cloud(), settings.Host(), r.store, r.cloud).Seam()
	}
	c, err := conductor.New(ctx, conductor.Term{Epoch: t.Epoch, FormerIsOver: t.FormerIsOver, Confirmed: t.Confirmed},
		r.store, r.workers.Fleet(), s, lease, platform.DecodeWorker,
		conductor.WithClock(r.now), conductor.WithMetrics(r.measures()), conductor.WithEvents(r.log.Emit), conductor.WithCloud(cloud))
	if err != nil {
		r.log.Emit(logger.TermEnded, logger.Int("epoch", t.Epoch), logger.String("reason", err.Error()))
		return
	}
	r.forward.SetLocal(c)
	c.SetEvacuated(*r.evacuated.Load())
	c.SetWaves(*r.waves.Load())
	r.metrics.Add(measurer.Terms, 1)
	r.metrics.Set(measurer.Leading, 1)
	c.Wait()
	r.forward.SetLocal(nil)
	r.metrics.Set(measurer.Leading, 0)
}

// Reload takes over changed settings: the bounds of work hold from the next term that
// this daemon leads, the grace period from now on, addresses from the next start.
func (r *Runner) Reload(s *platform.Settings) {
	r.log.Emit(logger.Reloaded, logger.Text("changed", r.settings.Swap(s).Changed(s)))
}

// Leave ends the daemon without breaking off a request: callers are sent elsewhere,
// another daemon leads, and requests on their way are answered.
func (r *Runner) Leave(ctx context.Context) {
	if err := r.life.Event(ctx, stateLeaving); err != nil {
		return
	}
	r.leaving.Store(true)
	r.elector.Close()
	recorder.Sleep(ctx, rotationDelay)
	c, cancel := context.WithTimeout(ctx, (r.settings.Load().Grace() - rotationDelay - stopReserve).Duration())
	defer cancel()
	for _, s := range r.servers {
		if err := s.Shutdown(c); err != nil {
			r.log.Emit(logger.StopOverdue, logger.Err(err))
		}
	}
	r.Close()
	if err := r.life.Event(ctx, stateStopped); err != nil {
		r.log.Emit(logger.StopOverdue, logger.Err(err))
	}
}

// Close ends the daemon at once.
func (r *Runner) Close() {
	r.elector.Close()
	r.adviser.Close()
	r.follow.Close()
	r.metrics.Close()
	for _, s := range r.servers {
		// The process ends; a connection that can't be closed ends with it.
		_ = s.Close()
	}
}
