// Package daemon is the process of an entry host. It does the I/O around the packages
// that decide, among them claimer, replicator and keeper: it reads the log, appends their
// records, carries out their orders to workers, and answers callers, operators and peers.
package daemon

import (
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/auditor"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/dialer"
	"galenawharf.example/galenawharf/dispatcher"
	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/messenger"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/relayer"
	"galenawharf.example/galenawharf/server"
)

type (
	// Daemon is the process of an entry host, from New until Shutdown or Kill.
	Daemon struct {
		settings    configurer.Settings
		incarnation int64
		now         func() clock.Millis
		logOutput   io.Writer
		logger      *logger.Logger
		metrics     *measurer.Metrics
		platform    Platform
		relayer     *relayer.Relayer
		client      *dialer.Client
		dispatcher  *dispatcher.Dispatcher
		trail       *auditor.Trail
		peers       []*peer
		messenger   *messenger.Server
		server      *server.Server
		state       atomic.Pointer[declarer.State]
		leaving     atomic.Bool
		ready       atomic.Bool
		hostsDown   atomic.Bool
		inFlight    atomic.Int64
		sequence    atomic.Int64
		// rereadFrom has the offsets from which streams are to be read again.
		rereadFrom sync.Map
		// mailbox carries functions to the goroutine that owns the core.
		mailbox chan func(*core)
		// orderSlots limits how many orders run at a time.
		orderSlots chan struct{}
		stop       context.CancelFunc
		ctx        context.Context
		loops      sync.WaitGroup
	}
)

const (
	mailboxSize = 1024
	readLimit   = 2000
)

// New starts a daemon that listens on the addresses of the settings. It fails if it can't
// listen there or the settings are unusable.
func New(s configurer.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:   s,
		now:        clock.NewSteady(),
		logOutput:  os.Stderr,
		trail:      auditor.New(auditor.DefaultLimit),
		mailbox:    make(chan func(*core), mailboxSize),
		orderSlots: make(chan struct{}, s.Limits.Orders),
	}
	for _, o := range opts {
		o(d)
	}
	d.incarnation = int64(d.now())
	d.ctx, d.stop = context.WithCancel(context.Background())
	if err := d.build(); err != nil {
		d.stop()
		return nil, errors.Wrap(err, "daemon.New")
	}
	return d, nil
}

func (d *Daemon) build() error {
	var err error
	d.logger, err = logger.New(d.logOutput, d.settings.LogLevel, logger.String("daemon", d.settings.Name), logger.String("data-centre", d.settings.DataCentre))
	if err != nil {
		return err
	}
	d.metrics = measurer.New(d.settings.Name, d.settings.DataCentre)
	d.connectPlatform()
	d.state.Store(declarer.NewState())
	d.dispatcher, err = dispatcher.New(
		dispatcher.WithExecutors(d.platform.Executors),
		dispatcher.WithNow(d.now),
		dispatcher.WithSeed(d.settings.Seed),
		dispatcher.WithName(d.settings.Name),
		dispatcher.WithDataCentre(d.settings.DataCentre),
	)
	if err != nil {
		return err
	}
	d.connectPeers()
	d.setUpRelayer()
	c, err := newCore(d)
	if err != nil {
		return err
	}
	return d.listen(c)
}

func (d *Daemon) connectPlatform() {
	if d.platform.Log.Append != nil {
		return
	}
	t := d.settings.Timing
	d.client = dialer.New(dialer.WithTimeout(t.PlatformCall), dialer.WithConnectionsPerHost(d.settings.Limits.Orders))
	d.platform = Platform{
		Log:       d.client.Log(d.settings.Platform.Log),
		Hosts:     d.client.Hosts(d.settings.Platform.Hosts),
		Workers:   d.client.Workers(),
		Executors: d.client.Executors(),
	}
}

func (d *Daemon) listen(c *core) error {
	var err error
	d.messenger, err = messenger.Listen(d.settings.Listen.Peers, d.handlers())
	if err != nil {
		return err
	}
	d.start(c)
	d.server, err = server.Listen(d.backend(), server.Options{
		Callers:    d.settings.Listen.Callers,
		Status:     d.settings.Listen.Status,
		MaxBody:    int(d.settings.Limits.Body),
		MaxPayload: int(d.settings.Limits.Payload),
		OnResult:   d.countResult,
		OnPanic:    func(what any) { d.logger.Emit(logger.Panicked, logger.Text("what", what)) },
		Health: server.Health{
			Ready:     d.readyReason,
			Status:    func() any { return d.status() },
			Metrics:   d.metrics.Handler(),
			Profiling: d.settings.Profiling,
		},
	})
	if err != nil {
		d.halt()
		return err
	}
	d.logger.Emit(logger.Started, logger.String("callers", d.server.CallersAddress()), logger.Int("incarnation", d.incarnation))
	return nil
}

// start starts the goroutines of the daemon.
func (d *Daemon) start(c *core) {
	d.loops.Go(func() { d.runCore(c) })
	d.runEvery(d.settings.Timing.LogPoll, d.readConfig)
	// The first stream is the config stream, which readConfig reads.
	for _, s := range d.streams()[1:] {
		d.loops.Go(func() { d.readStream(s) })
	}
	d.runEvery(d.settings.Timing.HostPoll, d.readHosts)
	d.runEvery(d.settings.Timing.Tick, d.step)
	for _, p := range d.peers {
		d.runEvery(d.settings.Timing.Heartbeat, func() { d.exchange(p) })
	}
}

// streams returns the streams that the daemon reads, the config stream first.
func (d *Daemon) streams() []string {
	return []string{provider.StreamConfig, provider.StreamIntents, provider.StreamUsage, d.dataCentreStream()}
}

func (d *Daemon) runCore(c *core) {
	for {
		select {
		case <-d.ctx.Done():
			return
		case f := <-d.mailbox:
			f(c)
		}
	}
}

// post queues f for the goroutine that owns the core. It reports false if the daemon has
// stopped.
func (d *Daemon) post(f func(*core)) bool {
	select {
	case d.mailbox <- f:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// CallersAddress returns the address for callers and operators.
func (d *Daemon) CallersAddress() string { return d.server.CallersAddress() }

// StatusAddress returns the address for health checks and the status page.
func (d *Daemon) StatusAddress() string { return d.server.StatusAddress() }

// Shutdown stops the daemon gracefully: it reports not ready, refuses new requests as not
// run, answers those in flight, releases its shards and stops. It returns an error if
// that took longer than the settings allow.
func (d *Daemon) Shutdown() error {
	d.leaving.Store(true)
	d.logger.Emit(logger.Leaving)
	limit := d.now().Add(d.settings.Timing.Shutdown)
	d.loops.Go(d.finishChecks)
	err := d.server.Shutdown(d.settings.Timing.Shutdown)
	if err != nil {
		d.logger.Emit(logger.StopOverdue, logger.Err(err))
	}
	d.releaseShards(limit)
	d.halt()
	d.logger.Emit(logger.Stopped)
	return err
}

// finishChecks waits for the checks in flight. At 9/10 of the time for the shutdown the
// dispatcher answers the remaining checks at once, while their callers can still receive
// the answers.
func (d *Daemon) finishChecks() {
	timeout := d.settings.Timing.Shutdown * 9 / 10
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	if err := d.dispatcher.Close(ctx); err != nil {
		d.logger.Emit(logger.StopOverdue, logger.Err(err))
	}
}

// closeDispatcher closes the dispatcher and cancels the requests that are still in
// flight.
func (d *Daemon) closeDispatcher() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.dispatcher.Close(ctx)
}

// Kill stops the daemon at once, as the failure of its host would.
func (d *Daemon) Kill() {
	d.server.Close()
	d.halt()
}

func (d *Daemon) halt() {
	d.closeDispatcher()
	d.stop()
	d.messenger.Close()
	for _, p := range d.peers {
		p.client.Close()
	}
	d.loops.Wait()
	if d.client != nil {
		d.client.Close()
	}
	d.metrics.Close()
}

// releaseShards releases the daemon's shards and waits until the releases are read back
// from the log, or until limit.
func (d *Daemon) releaseShards(limit clock.Millis) {
	d.post(func(c *core) { c.claimer.Leave() })
	for d.now().Before(limit) {
		released := make(chan bool, 1)
		if !d.post(func(c *core) { released <- c.claimer.AllReleased() }) || <-released {
			return
		}
		if !d.sleep(d.settings.Timing.Tick) {
			return
		}
	}
}

func (d *Daemon) newRecordID() string {
	return d.settings.Name + "/" + formatInt(d.incarnation) + "/" + formatInt(d.sequence.Add(1))
}

// notServing returns the error with which to refuse new requests, or nil if the daemon
// accepts them.
func (d *Daemon) notServing() *coder.Error {
	if d.leaving.Load() {
		return coder.New(coder.ShuttingDown, "the daemon is shutting down: ask another entry host")
	}
	if !d.ready.Load() {
		return coder.New(coder.NotReady, "the daemon has just started and is not ready: ask another entry host")
	}
	return nil
}

// countResult counts the result of a request, and logs one that isn't OK.
func (d *Daemon) countResult(c coder.Code) {
	d.metrics.CountResult(c)
	if c != coder.OK {
		d.logger.Emit(logger.RequestFailed, logger.String("code", c.String()))
	}
}

// NoteSecondSignal logs that a second signal to stop was received during the shutdown.
func (d *Daemon) NoteSecondSignal() { d.logger.Emit(logger.StopRepeated) }
