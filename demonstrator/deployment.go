// Package demonstrator runs small deployments in one process on loopback: the
// stand-ins of the platform and several daemons, over real sockets.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/configurer"
	"galenawharf.example/galenawharf/daemon"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema/schemaconnect"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Shape is the size of a deployment.
	Shape struct {
		// DataCentres are their names.
		DataCentres []string
		// Daemons has the number of daemons of each data centre.
		Daemons []int
		// Workers and Executors are the numbers in each data centre.
		Workers   int
		Executors int
		// Capacity is that of each worker.
		Capacity sizer.Size
		// Service is the service that the executors serve.
		Service string
		// Clock is where the daemons take their time from; the host's where
		// it is nil.
		Clock func() clock.Millis
		// BillGrace is how long an hour's usage record waits.
		BillGrace clock.Millis
		// SnapshotRecords is after how many records a snapshot is written.
		SnapshotRecords int
	}

	// Deployment is a running deployment.
	Deployment struct {
		shape     Shape
		output    io.Writer
		log       *imitator.Log
		hosts     *imitator.Hosts
		list      []provider.Host
		workers   []*Worker
		executors []*imitator.Executor
		servers   []*httptest.Server
		settings  []configurer.Settings
		daemons   []*daemon.Daemon
		client    *http.Client
	}

	// Worker is a stand-in of a worker with its name.
	Worker struct {
		*imitator.Worker
		name       string
		dataCentre string
	}
)

const (
	firstNetwork = 16
	maxProcesses = 100 << 8
	maxHosts     = 250

	executorSlots       = 8
	executorConnections = 64
	racksPerDataCentre  = 2
	checkTime           = clock.Millis(5)
	hostsLag            = 200 * clock.Millis(1)
)

// addresses counts the daemons of this process.
var addresses atomic.Int32

// Name gives the worker's name.
func (w *Worker) Name() string { return w.name }

// DataCentre gives where the worker stands.
func (w *Worker) DataCentre() string { return w.dataCentre }

// Start starts the stand-ins and the daemons of a shape. Log lines go to output.
func Start(s Shape, output io.Writer) (*Deployment, error) {
	d := &Deployment{shape: s, output: output, client: &http.Client{Transport: &http.Transport{}}}
	d.log = imitator.NewLog()
	d.hosts = imitator.NewHosts(clock.System, hostsLag)
	for _, dc := range s.DataCentres {
		d.addWorkers(dc)
		d.addExecutors(dc)
	}
	if err := d.settle(); err != nil {
		d.Close()
		return nil, err
	}
	for n := range d.settings {
		if err := d.StartDaemon(n); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func wait(ctx context.Context, m clock.Millis) error {
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Deployment) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	d.servers = append(d.servers, s)
	return s.Listener.Addr().String()
}

func (d *Deployment) addWorkers(dc string) {
	for n := range d.shape.Workers {
		w := &Worker{Worker: imitator.NewWorker(d.shape.Capacity, clock.System, imitator.AsDeclared), name: fmt.Sprintf("%s-worker-%d", dc, n+1), dataCentre: dc}
		d.workers = append(d.workers, w)
		d.list = append(d.list, provider.Host{
			Name: w.name, Role: provider.RoleWorker, DataCentre: dc, Rack: fmt.Sprintf("%s-rack-%d", dc, n%racksPerDataCentre+1),
			Address: d.serve(imitator.WorkerHandler(w.Worker, wait)), Capacity: sizer.DocumentOf(d.shape.Capacity),
		})
	}
}

func (d *Deployment) addExecutors(dc string) {
	for n := range d.shape.Executors {
		e := imitator.NewExecutor(executorSlots, wait, func(provider.Request) clock.Millis { return checkTime })
		d.executors = append(d.executors, e)
		d.list = append(d.list, provider.Host{
			Name: fmt.Sprintf("%s-executor-%d", dc, n+1), Role: provider.RoleExecutor, DataCentre: dc, Service: d.shape.Service,
			Address: d.serve(imitator.ExecutorHandler(e)), Slots: executorSlots, Connections: executorConnections,
		})
	}
}

// settle gives each daemon its settings.
func (d *Deployment) settle() error {
	logAddress := d.serve(imitator.LogHandler(d.log, wait))
	hostsAddress := d.serve(imitator.HostsHandler(d.hosts))
	for n, dc := range d.shape.DataCentres {
		for i := range d.shape.Daemons[n] {
			s := configurer.Settings{
				Name:       fmt.Sprintf("%s-entry-%d", dc, i+1),
				DataCentre: dc,
				Platform:   configurer.Platform{Log: logAddress, Hosts: hostsAddress},
				LogLevel:   "info",
				Seed:       uint64(len(d.settings) + 1),
			}
			ip := nextAddress()
			s.Listen = configurer.Listen{Callers: ip + ":7100", Peers: ip + ":7200", Status: ip + ":7300"}
			s.Timing = configurer.Timing{LogPoll: 50, HostPoll: 200, Heartbeat: 200, Tick: 50}
			s.Timing.BillGrace = d.shape.BillGrace
			s.Limits.SnapshotRecords = d.shape.SnapshotRecords
			s.Defaults()
			d.settings = append(d.settings, s)
			d.list = append(d.list, provider.Host{Name: s.Name, Role: provider.RoleEntry, DataCentre: dc, Address: s.Listen.Callers})
		}
	}
	for n := range d.settings {
		for i, s := range d.settings {
			if i != n {
				d.settings[n].Peers = append(d.settings[n].Peers, s.Own())
			}
		}
		if faults := d.settings[n].Validate(); len(faults) > 0 {
			return errors.Wrap(faults, "Deployment.settle")
		}
	}
	d.hosts.Set(d.list)
	return nil
}

// nextAddress gives an address of the loopback range that no other daemon has:
// one that was free a moment ago may have become the source of a connection.
func nextAddress() string {
	pid := os.Getpid() % maxProcesses
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+pid>>8, pid&0xff, addresses.Add(1)%maxHosts+1)
}

// StartDaemon starts the daemon of a number, or starts it anew.
func (d *Deployment) StartDaemon(n int) error {
	opts := []daemon.Option{daemon.WithLogOutput(d.output)}
	if d.shape.Clock != nil {
		opts = append(opts, daemon.WithClock(d.shape.Clock))
	}
	run, err := daemon.New(d.settings[n], opts...)
	if err != nil {
		return err
	}
	for len(d.daemons) <= n {
		d.daemons = append(d.daemons, nil)
	}
	d.daemons[n] = run
	return nil
}

// Daemon gives the daemon of a number.
func (d *Deployment) Daemon(n int) *daemon.Daemon { return d.daemons[n] }

// Forget drops a daemon that was shut down or killed.
func (d *Deployment) Forget(n int) { d.daemons[n] = nil }

// Log gives the stand-in of the log.
func (d *Deployment) Log() *imitator.Log { return d.log }

// Workers gives the stand-ins of the workers.
func (d *Deployment) Workers() []*Worker { return d.workers }

// Executors gives the stand-ins of the executors.
func (d *Deployment) Executors() []*imitator.Executor { return d.executors }

// Callers gives a client of the daemon of a number.
func (d *Deployment) Callers(n int) schemaconnect.CallersClient {
	return schemaconnect.NewCallersClient(d.client, "http://"+d.daemons[n].CallersAddress())
}

// Operators gives a client of the daemon of a number.
func (d *Deployment) Operators(n int) schemaconnect.OperatorsClient {
	return schemaconnect.NewOperatorsClient(d.client, "http://"+d.daemons[n].CallersAddress())
}

// Address gives where callers reach the daemon of a number.
func (d *Deployment) Address(n int) string { return d.daemons[n].CallersAddress() }

// StatusAddress gives where health checks reach the daemon of a number.
func (d *Deployment) StatusAddress(n int) string { return d.daemons[n].StatusAddress() }

// Ready tells whether the daemon of a number says that it is.
func (d *Deployment) Ready(n int) bool {
	resp, err := d.client.Get("http://" + d.StatusAddress(n) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Running gives the number of tasks that run in a data centre.
func (d *Deployment) Running(dataCentre string) int {
	n := 0
	for _, w := range d.workers {
		if w.dataCentre == dataCentre {
			tasks, _ := w.Running()
			n += len(tasks)
		}
	}
	return n
}

// Close ends everything at once.
func (d *Deployment) Close() {
	for _, run := range d.daemons {
		if run != nil {
			run.Kill()
		}
	}
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	d.client.CloseIdleConnections()
}
