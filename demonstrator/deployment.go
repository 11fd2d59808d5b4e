// Package demonstrator runs small deployments in one process: several daemons and a fake
// platform, connected over loopback sockets. It is used by the demo command and the
// end-to-end tests.
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
	// Config is the configuration of a deployment.
	Config struct {
		// DataCentres are the names of the data centres.
		DataCentres []string
		// Daemons is the number of daemons in each data centre, in the order of
		// DataCentres.
		Daemons []int
		// Workers and Executors are the numbers of workers and executors in each data
		// centre.
		Workers   int
		Executors int
		// Capacity is the capacity of each worker.
		Capacity sizer.Size
		// Service is the service that the executors serve.
		Service string
		// Clock is the clock of the daemons; nil for the system clock.
		Clock func() clock.Millis
		// BillGrace is the delay between the end of an hour and the record of its usage.
		// Usage that is reported during the delay is still included. 0 is the default
		// delay.
		BillGrace clock.Millis
		// SnapshotRecords is the number of records between snapshots; 0 for the
		// default.
		SnapshotRecords int
	}

	// Deployment is a running deployment.
	Deployment struct {
		config    Config
		output    io.Writer
		log       *imitator.Log
		hosts     *imitator.Hosts
		hostList  []provider.Host
		workers   []*Worker
		executors []*imitator.Executor
		servers   []*httptest.Server
		settings  []configurer.Settings
		daemons   []*daemon.Daemon
		client    *http.Client
	}

	// Worker is a fake worker with its name and data centre.
	Worker struct {
		*imitator.Worker
		name       string
		dataCentre string
	}
)

const (
	// Daemons get the addresses 127.16.0.1 to 127.115.255.250. The process ID determines
	// the second and the third byte.
	firstLoopbackOctet = 16
	pidRange           = 100 << 8
	maxDaemons         = 250

	executorSlots       = 8
	executorConnections = 64
	racksPerDataCentre  = 2
	// checkDuration is the time an executor takes for a check.
	checkDuration = clock.Millis(5)
	hostsLag      = 200 * clock.Millis(1)
)

// usedAddresses is the number of loopback addresses that nextLoopbackIP has returned.
var usedAddresses atomic.Int32

// Name returns the worker's name.
func (w *Worker) Name() string { return w.name }

// DataCentre returns the worker's data centre.
func (w *Worker) DataCentre() string { return w.dataCentre }

// Start starts the fakes and the daemons of a deployment. The daemons' log lines go to
// output. The caller must call Close.
func Start(s Config, output io.Writer) (*Deployment, error) {
	d := &Deployment{config: s, output: output, client: &http.Client{Transport: &http.Transport{}}}
	d.log = imitator.NewLog()
	d.hosts = imitator.NewHosts(clock.System, hostsLag)
	for _, dc := range s.DataCentres {
		d.addWorkers(dc)
		d.addExecutors(dc)
	}
	if err := d.configureDaemons(); err != nil {
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

func sleep(ctx context.Context, m clock.Millis) error {
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
	for n := range d.config.Workers {
		w := &Worker{Worker: imitator.NewWorker(d.config.Capacity, clock.System, imitator.AsDeclared), name: fmt.Sprintf("%s-worker-%d", dc, n+1), dataCentre: dc}
		d.workers = append(d.workers, w)
		d.hostList = append(d.hostList, provider.Host{
			Name: w.name, Role: provider.RoleWorker, DataCentre: dc, Rack: fmt.Sprintf("%s-rack-%d", dc, n%racksPerDataCentre+1),
			Address: d.serve(imitator.WorkerHandler(w.Worker, sleep)), Capacity: sizer.DocumentOf(d.config.Capacity),
		})
	}
}

func (d *Deployment) addExecutors(dc string) {
	for n := range d.config.Executors {
		e := imitator.NewExecutor(executorSlots, sleep, func(provider.Request) clock.Millis { return checkDuration })
		d.executors = append(d.executors, e)
		d.hostList = append(d.hostList, provider.Host{
			Name: fmt.Sprintf("%s-executor-%d", dc, n+1), Role: provider.RoleExecutor, DataCentre: dc, Service: d.config.Service,
			Address: d.serve(imitator.ExecutorHandler(e)), Slots: executorSlots, Connections: executorConnections,
		})
	}
}

// configureDaemons starts the servers of the log and of the list of hosts, creates the
// settings of each daemon and publishes the list of hosts.
func (d *Deployment) configureDaemons() error {
	logAddress := d.serve(imitator.LogHandler(d.log, sleep))
	hostsAddress := d.serve(imitator.HostsHandler(d.hosts))
	for n, dc := range d.config.DataCentres {
		for i := range d.config.Daemons[n] {
			s := configurer.Settings{
				Name:       fmt.Sprintf("%s-entry-%d", dc, i+1),
				DataCentre: dc,
				Platform:   configurer.Platform{Log: logAddress, Hosts: hostsAddress},
				LogLevel:   "info",
				Seed:       uint64(len(d.settings) + 1),
			}
			ip := nextLoopbackIP()
			s.Listen = configurer.Listen{Callers: ip + ":7100", Peers: ip + ":7200", Status: ip + ":7300"}
			s.Timing = configurer.Timing{LogPoll: 50, HostPoll: 200, Heartbeat: 200, Tick: 50}
			s.Timing.BillGrace = d.config.BillGrace
			s.Limits.SnapshotRecords = d.config.SnapshotRecords
			s.Defaults()
			d.settings = append(d.settings, s)
			d.hostList = append(d.hostList, provider.Host{Name: s.Name, Role: provider.RoleEntry, DataCentre: dc, Address: s.Listen.Callers})
		}
	}
	for n := range d.settings {
		for i, s := range d.settings {
			if i != n {
				d.settings[n].Peers = append(d.settings[n].Peers, s.AsPeer())
			}
		}
		if faults := d.settings[n].Validate(); len(faults) > 0 {
			return errors.Wrap(faults, "Deployment.configureDaemons")
		}
	}
	d.hosts.Set(d.hostList)
	return nil
}

// nextLoopbackIP returns an address of the range 127.0.0.0/8 that no other daemon has, so
// that each daemon can listen on fixed ports. Free ports of 127.0.0.1 would not do: one
// could become the source port of a connection before the daemon listens on it.
func nextLoopbackIP() string {
	pid := os.Getpid() % pidRange
	return fmt.Sprintf("127.%d.%d.%d", firstLoopbackOctet+pid>>8, pid&0xff, usedAddresses.Add(1)%maxDaemons+1)
}

// StartDaemon starts or restarts the daemon with index n.
func (d *Deployment) StartDaemon(n int) error {
	opts := []daemon.Option{daemon.WithLogOutput(d.output)}
	if d.config.Clock != nil {
		opts = append(opts, daemon.WithClock(d.config.Clock))
	}
	started, err := daemon.New(d.settings[n], opts...)
	if err != nil {
		return err
	}
	for len(d.daemons) <= n {
		d.daemons = append(d.daemons, nil)
	}
	d.daemons[n] = started
	return nil
}

// Daemon returns the daemon with index n.
func (d *Deployment) Daemon(n int) *daemon.Daemon { return d.daemons[n] }

// RemoveDaemon removes the daemon with index n, which was shut down or killed, so that
// Close does not kill it again.
func (d *Deployment) RemoveDaemon(n int) { d.daemons[n] = nil }

// Log returns the fake log.
func (d *Deployment) Log() *imitator.Log { return d.log }

// Workers returns the fake workers of all data centres.
func (d *Deployment) Workers() []*Worker { return d.workers }

// Executors returns the fake executors of all data centres.
func (d *Deployment) Executors() []*imitator.Executor { return d.executors }

// Callers returns a client of the callers' API of the daemon with index n.
func (d *Deployment) Callers(n int) schemaconnect.CallersClient {
	return schemaconnect.NewCallersClient(d.client, "http://"+d.daemons[n].CallersAddress())
}

// Operators returns a client of the operators' API of the daemon with index n.
func (d *Deployment) Operators(n int) schemaconnect.OperatorsClient {
	return schemaconnect.NewOperatorsClient(d.client, "http://"+d.daemons[n].CallersAddress())
}

// Address returns the address on which the daemon with index n serves callers.
func (d *Deployment) Address(n int) string { return d.daemons[n].CallersAddress() }

// StatusAddress returns the address on which the daemon with index n serves its health
// checks and status page.
func (d *Deployment) StatusAddress(n int) string { return d.daemons[n].StatusAddress() }

// Ready reports whether the daemon with index n passes its readiness check.
func (d *Deployment) Ready(n int) bool {
	resp, err := d.client.Get("http://" + d.StatusAddress(n) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Running returns the number of tasks that are running in a data centre.
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

// Close kills the daemons and closes the servers of the fakes.
func (d *Deployment) Close() {
	for _, running := range d.daemons {
		if running != nil {
			running.Kill()
		}
	}
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	d.client.CloseIdleConnections()
}
