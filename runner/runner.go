// Package runner assembles the daemon of one host on the platform: the HTTP servers for
// callers, other daemons and the load balancer's readiness check, the reading of the
// operator's records, the election, and the conductor while this host leads.
package runner

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
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

		state   *fsm.FSM
		ingress *platform.Ingress
		forward *forwarder.Forwarder
		elector *elector.Elector
		follow  *recorder.Follower
		// operatorItems has the operator's newest records by key. Only the follower's
		// goroutine uses it and waveTimes.
		operatorItems map[string][]byte
		waveTimes     waveTimes
		// oddRecords logs the operator's records that are invalid.
		oddRecords  *logger.Limited
		adviser     *adviser.Adviser
		cloudClient *http.Client
		// evacuated are the data centres in which no task may start.
		evacuated atomic.Pointer[[]string]
		// lastStoreRead is when the store last answered a read in time, in ms, 0 if the
		// latest one failed or was slow.
		lastStoreRead atomic.Int64
		// operatorReadAt is when the operator's records were certainly as they are known here.
		operatorReadAt atomic.Int64
		waves          atomic.Pointer[[]scheduler.Wave]
		// operatorMu orders what the conductor is given of the operator's records.
		operatorMu sync.Mutex
		leaving    atomic.Bool
		servers    []*http.Server
	}
)

const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateStopped  = "stopped"

	// loggedRecords is the number of the operator's invalid records that are logged in a second, which
	// are read again with each change of another one.
	loggedRecords = 5
	// maxLoggedKey bounds the bytes of a key in a log line.
	maxLoggedKey = 64

	// storeConnections bounds the connections to the store: the long polls for the
	// operator's records and the leader's claim, and the calls for the registry, the jobs
	// and the claim.
	storeConnections = 6
	// policyConnections bounds the connections to the policy service, which answers one
	// request of a host at a time.
	policyConnections = 1
	// cloudConnections bounds the connections to the machine service: one for the
	// listing, the others for orders.
	cloudConnections = 4
	// peerConnections bounds the connections to the leader.
	peerConnections = 16
	// operatorWait is how long the store may hold a read of the operator's records (long
	// polling). A dead connection is noticed after this time, well within the time
	// allowed for a change of the configuration.
	operatorWait = clock.Second
	// slowStoreDelay is the latency of an answer from which the store counts as slow. It
	// usually takes 4 ms and executes appends one after the other.
	slowStoreDelay = 80 * clock.Millis(1)
	// readHeaderTimeout bounds the reading of a request's header; the platform has the
	// same limit.
	readHeaderTimeout = 3 * clock.Second
	// drainDelay is how long new callers may still arrive after this host reports itself
	// as not ready: two readiness checks of the load balancer, which makes one a second,
	// and their answers.
	drainDelay = 2200 * clock.Millis(1)
	// exitReserve is the part of the grace period that is kept for the end of the
	// process.
	exitReserve = 800 * clock.Millis(1)
	// tenantAgeMargin is the part of the time in which a configuration takes effect that is kept for
	// a start that was decided by it to be carried out.
	tenantAgeMargin = 500 * clock.Millis(1)
	// maxLease bounds the lease of workers. It is long enough for a takeover (two
	// seconds) and the first reports after it, and short enough that tasks of a lost
	// worker soon restart elsewhere.
	maxLease = 6 * clock.Second
)

// New starts the daemon. The error is that of a server that can't listen on its address.
func New(s *platform.Settings, l *logger.Logger) (*Runner, error) {
	r := &Runner{
		log: l, metrics: measurer.New(s.Host(), s.DataCentre()), now: clock.NewSteady(), operatorItems: map[string][]byte{}, waveTimes: waveTimes{},
		store:       platform.NewStore(s.StoreAddress(), platform.NewClient(storeConnections)).Seam(),
		workers:     platform.NewWorkers(s.Descriptors(), platform.WithWorkerEvents(l.Emit)),
		cloudClient: platform.NewClient(cloudConnections),
	}
	r.oddRecords = logger.NewLimited(l.Emit, r.now, loggedRecords)
	r.store.PageTransfer = s.PageTransfer()
	r.state = fsm.NewFSM(stateStarting, fsm.Events{
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
	deposits := depositor.New(r.store, r.now, func() clock.Millis { return clock.Millis(r.lastStoreRead.Load()) })
	r.forward = forwarder.New(func() *elector.Elector { return r.elector }, platform.NewClient(peerConnections), r.now, deposits.Deposit, l.Emit,
		forwarder.WithJudge(func(q *forwarder.Request) forwarder.Reply { return r.ingress.Judge(q) }))
	r.ingress = platform.NewIngress(r.serveCaller, l.Emit, platform.WithConfigAge(r.configAge), platform.WithIngressClock(r.now),
		platform.WithKeyBounds(func() platform.KeyBounds { return r.settings.Load().KeyBounds() }))
	instance := strconv.FormatInt(int64(clock.System()), 36) + "-" + s.Peers()
	r.elector = elector.New(r.store, s.Host(), s.Peers(), instance, r.lead, elector.WithClock(r.now), elector.WithCores(s.Cores()), elector.WithEvents(l.Emit))
	storeOutages := &outageLogger{now: r.now, emit: l.Emit, failedEvent: logger.StoreLost, recoveredEvent: logger.StoreBack}
	r.follow = recorder.Follow(r.store, platform.OperatorTopic, recorder.PollTiming{Wait: operatorWait}, recorder.Callbacks{
		Reset: func(m map[string][]byte) { r.operatorItems = m; r.applyOperatorItems() },
		Change: func(items []recorder.Item) {
			for _, i := range items {
				if len(i.Value) == 0 {
					delete(r.operatorItems, i.Key)
					continue
				}
				r.operatorItems[i.Key] = i.Value
			}
			r.applyOperatorItems()
		},
		Read: func(delay, age clock.Millis) {
			at := r.now()
			r.operatorReadAt.Store(int64(at - age))
			if delay > slowStoreDelay {
				at = 0
			}
			r.lastStoreRead.Store(int64(at))
			storeOutages.succeeded()
		},
		Failed: func(err error) {
			r.lastStoreRead.Store(0)
			storeOutages.failed(err)
		},
	})
	policy := platform.NewPolicy(s.PolicyAddress(), platform.NewClient(policyConnections))
	r.adviser = adviser.New(adviser.Funcs{Enabled: r.policyConfigured, Next: r.forward.Consult, Ask: policy.Ask})
	if err := r.startServers(); err != nil {
		r.Close()
		return nil, errors.Wrap(err, "runner.New")
	}
	return r, nil
}

// startServers listens on all addresses and serves them in the background.
func (r *Runner) startServers() error {
	settings := r.settings.Load()
	for address, h := range map[string]http.Handler{
		settings.Callers(): r.ingress,
		settings.Peers():   r.peerHandler(),
		settings.Ready():   http.HandlerFunc(r.ready),
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "runner.Runner.startServers")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration()}
		r.servers = append(r.servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				r.log.Emit(logger.RequestFailed, logger.Err(err))
			}
		}()
	}
	return nil
}

// policyConfigured reports whether a policy service is set and any queue uses one.
func (r *Runner) policyConfigured() bool {
	c := r.ingress.Config()
	return r.settings.Load().PolicyAddress() != "" && c != nil && c.HasPolicies()
}

// ready answers the load balancer's readiness check: this host accepts callers while it
// has a configuration and can reach a leader.
func (r *Runner) ready(w http.ResponseWriter, q *http.Request) {
	leader, _ := r.elector.Leader()
	switch {
	case q.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case r.leaving.Load() || r.ingress.Config() == nil || leader == "" || !r.forward.Reachable(q.Context(), r.lastStoreRead.Load() == 0):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		if r.state.Can(stateServing) {
			// Of two concurrent checks that both get here, the second has no effect.
			_ = r.state.Event(q.Context(), stateServing)
		}
		w.WriteHeader(http.StatusOK)
	}
}

// applyOperatorItems applies the operator's configuration, evacuated data centres and
// maintenance waves.
func (r *Runner) applyOperatorItems() {
	r.applyConfig()
	e := platform.EvacuatedOf(r.operatorItems)
	r.evacuated.Store(&e)
	w, invalid := platform.WavesOf(r.operatorItems)
	for _, k := range invalid {
		r.oddRecords.Emit(logger.EntryInvalid, logger.String("key", k[:min(len(k), maxLoggedKey)]))
	}
	w = keepFormer(w, *r.waves.Load(), invalid)
	r.waveTimes.stamp(w, r.now())
	r.waves.Store(&w)
	if c := r.forward.Local(); c != nil {
		r.passOperatorItems(c)
	}
}

// lead runs a conductor for one term and returns when the term is over.
func (r *Runner) lead(ctx context.Context, t elector.Term) {
	settings := r.settings.Load()
	lease := min(settings.Lease(), maxLease)
	s := scheduler.New(
		scheduler.WithClocks(r.now, clock.System), scheduler.WithEvents(r.log.Emit),
		scheduler.WithLease(lease), scheduler.WithRetention(settings.Retention()),
		scheduler.WithOnCrash(func(runs int) {
			r.metrics.Add(measurer.WorkerCrashes, 1)
			r.metrics.Add(measurer.RunsLost, int64(runs))
		}),
		scheduler.WithOnGivenUp(func() { r.metrics.Add(measurer.TasksGivenUp, 1) }),
		scheduler.WithOnFirstStart(func(d clock.Millis) { r.metrics.Record(measurer.FirstStartTime, d.Duration()) }),
		scheduler.WithViolationLimit(settings.InterferenceLimit()), scheduler.WithRemoteFactor(settings.RemoteFactor()),
		scheduler.WithUpkeepLength(settings.UpkeepLength()),
	)
	s.SetEvacuated(*r.evacuated.Load())
	s.SetTenants(r.tenants())
	var cloud conductor.Cloud
	if settings.CloudAddress() != "" {
		cloud = platform.NewCloud(settings.CloudAddress(), settings.Host(), r.store, r.cloudClient).Seam()
	}
	c, err := conductor.New(ctx, TermOf(t),
		r.store, r.workers.Fleet(), s, lease, func(i recorder.Item) (scheduler.WorkerInfo, error) { return platform.DecodeWorker(i, clock.System()) },
		conductor.WithClock(r.now), conductor.WithMetrics(r.conductorMetrics()), conductor.WithEvents(r.log.Emit), conductor.WithCloud(cloud),
		conductor.WithTenantRates(settings.QuotaWindow(), settings.QuotaExcess(), settings.QuotaTolerance()),
		conductor.WithTenantAge(max(settings.ConfigApply()-tenantAgeMargin, 0)),
		conductor.WithOperatorRead(func() clock.Millis { return clock.Millis(r.operatorReadAt.Load()) }))
	if err != nil {
		r.log.Emit(logger.TermEnded, logger.Int("epoch", t.Epoch), logger.String("reason", err.Error()))
		return
	}
	r.forward.SetLocal(c)
	r.passOperatorItems(c)
	r.metrics.Add(measurer.Terms, 1)
	r.metrics.Set(measurer.Leading, 1)
	c.Wait()
	r.forward.SetLocal(nil)
	r.metrics.Set(measurer.Leading, 0)
	r.metrics.SetTenants(nil)
	r.metrics.Set(measurer.UndeletedDeposits, 0)
	r.setRoom(scheduler.RoomState{})
}

// Reload applies changed settings: limits on work apply from the next term that this
// daemon leads, the grace period at once, and addresses from the next start.
func (r *Runner) Reload(s *platform.Settings) {
	r.log.Emit(logger.Reloaded, logger.Text("changed", r.settings.Swap(s).Changed(s)))
}

// drainTime returns how much longer new callers may arrive, spent after this host has begun to
// leave.
func drainTime(spent clock.Millis) clock.Millis { return max(drainDelay-spent, 0) }

// shutdownTime returns how long the requests in flight may still take, spent after this host has
// begun to leave.
func shutdownTime(grace, spent clock.Millis) clock.Millis { return max(grace-spent-exitReserve, 0) }

// Leave shuts the daemon down gracefully: it reports itself as not ready, resigns as the
// leader, and answers the requests in flight within the grace period.
func (r *Runner) Leave(ctx context.Context) {
	if err := r.state.Event(ctx, stateLeaving); err != nil {
		return
	}
	began := r.now()
	r.leaving.Store(true)
	r.elector.Close()
	recorder.Sleep(ctx, drainTime(r.now()-began))
	c, cancel := context.WithTimeout(ctx, shutdownTime(r.settings.Load().Grace(), r.now()-began).Duration())
	defer cancel()
	for _, s := range r.servers {
		if err := s.Shutdown(c); err != nil {
			r.log.Emit(logger.StopOverdue, logger.Err(err))
		}
	}
	r.Close()
	if err := r.state.Event(ctx, stateStopped); err != nil {
		r.log.Emit(logger.StopOverdue, logger.Err(err))
	}
}

// Close stops the daemon at once.
func (r *Runner) Close() {
	r.elector.Close()
	r.adviser.Close()
	r.follow.Close()
	r.metrics.Close()
	for _, s := range r.servers {
		// The process exits next, which closes any connection that is left.
		_ = s.Close()
	}
}
