package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// world is a small deployment: stand-ins for the store, the executors and the consumers, and the
	// addresses of the hosts that the script starts.
	world struct {
		rec       *recorder
		store     *store
		executors []*executor
		// hosts are the addresses at which the hosts serve consumers.
		hosts  []string
		dir    string
		random *rand.Rand
		client *http.Client

		mu   sync.Mutex
		jobs map[string]*job
		// leader is the name of the host that has claimed to lead last.
		leader string
		// renewed gets a value with each claim to lead that is stored, if anything waits for it.
		renewed chan struct{}
	}

	// job is a job that a consumer has sent.
	job struct {
		id, spec, class string
		phases          []wireStep
		repeat          int
		// accepted is when it was answered with success; 0 before.
		accepted clock.Millis
		// starts is the number of its runs that were started, running that of each task now, failed that
		// of its ends that were so.
		starts  int
		running map[string]int
		failed  int
		// seen are the tasks that have ended done, doneTasks their number by occurrence and step.
		seen      map[string]bool
		doneTasks map[string]int
		// noted are the tasks of which an end done was taken note of, again those that were started after
		// that. shown is the state that a consumer was told last.
		noted map[string]bool
		again []string
		shown string
	}

	wireStep struct {
		Count       int   `json:"count"`
		CPU         int64 `json:"cpu"`
		MemMB       int64 `json:"mem_mb"`
		EstimateMS  int64 `json:"estimate_ms"`
		After       []int `json:"after,omitempty"`
		Gang        bool  `json:"gang,omitempty"`
		LongRunning bool  `json:"long_running,omitempty"`
		// TargetMS is set for tasks that serve, Utilization for those that fill.
		TargetMS     int64  `json:"target_ms,omitempty"`
		Utilization  bool   `json:"utilization,omitempty"`
		AntiAffinity int    `json:"anti_affinity,omitempty"`
		Image        string `json:"image,omitempty"`
	}
)

const (
	service     = "svc-a"
	routeHost   = "entry.example"
	routePrefix = "/jobs/"
	// operatorConfig is the configuration in force.
	operatorConfig = `{"version":3,"routes":[{"name":"q-a","host":"entry.example","prefix":"/jobs/","service":"svc-a","priority":0,"max_attempts":3,"slack_factor":2,"target_latency_ms":500}],"services":[{"name":"svc-a","admission_control":true}],"limits":{"max_body_bytes":262144}}`
	zones          = 3
	// finishTime is finish_s of the settings.
	finishTime = 14 * clock.Second
	// maxAttempts is max_attempts of the queue.
	maxAttempts = 3
	// lowestPort is the first of the ports that listen chooses from, which are divided among the processes.
	lowestPort                     = 20_000
	portProcesses, portsPerProcess = 120, 100
)

// portsTried is the number of ports that listen has tried.
var portsTried atomic.Int64

// newWorld starts the stand-ins and writes the settings of the hosts to dir.
func newWorld(dir string, rec *recorder, c scenario) (*world, error) {
	w := &world{
		rec: rec, store: newStore(rec), dir: dir, jobs: map[string]*job{}, renewed: make(chan struct{}), random: rand.New(rand.NewPCG(1, 2)),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	w.store.onAppend = w.noteClaim
	w.store.put("keyed.op", "config", []byte(operatorConfig))
	for i := range c.executors {
		e := &executor{id: fmt.Sprintf("i-%010x", i+1), zone: zoneOf(i), rack: fmt.Sprintf("r%d", i%4), cpu: 32000, memory: 128000, world: w}
		if err := e.start(); err != nil {
			return nil, err
		}
		w.executors = append(w.executors, e)
	}
	go w.register()
	for i := range c.hosts {
		name := fmt.Sprintf("host-%d", i)
		store, err := serve(w.store.serve(name))
		if err != nil {
			return nil, err
		}
		if err := w.writeSettings(name, zoneOf(i), store, c.status); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// serve serves a handler until the process ends, and returns the address.
func serve(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	go func() {
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		// It returns with the process.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

func zoneOf(i int) string { return "zone-" + string(rune('a'+i%zones)) }

// register writes the entries of the executors to the registry, at once when one has started. The
// entry of one that is silent for three intervals is removed.
func (w *world) register() {
	written, present := map[*executor]clock.Millis{}, map[*executor]*life{}
	for {
		for _, e := range w.executors {
			now := w.rec.now()
			e.mu.Lock()
			f := e.life
			if f != nil {
				f.expire()
			}
			e.mu.Unlock()
			switch {
			case f != nil && (present[e] != f || now-written[e] >= heartbeat):
				if b, up := e.entry(); up {
					w.store.put("keyed.servers", e.id, b)
					written[e], present[e] = now, f
				}
			case f == nil && present[e] != nil && now-written[e] >= 3*heartbeat:
				w.store.put("keyed.servers", e.id, nil)
				present[e] = nil
			}
		}
		sleep(20)
	}
}

// listen listens on loopback at a port below those that the system hands out by itself. Each process of the
// stand-ins has ports of its own, so that no other gets one while its listener is closed for a while.
func listen() (net.Listener, error) {
	var err error
	for range portsPerProcess {
		port := lowestPort + os.Getpid()%portProcesses*portsPerProcess + int(portsTried.Add(1)-1)%portsPerProcess
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, errors.Wrap(err, "listen")
}

// freeAddress returns an address on loopback whose port is free.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), errors.Wrap(l.Close(), "port")
}

func (w *world) writeSettings(name, zone, store string, status clock.Millis) error {
	var a [3]string
	for k := range a {
		var err error
		if a[k], err = freeAddress(); err != nil {
			return err
		}
	}
	w.hosts = append(w.hosts, a[0])
	text := strings.Join([]string{
		"node_name=" + name, "role=host", "machine_class=frontend", "serves=frontend,control", "ip=127.0.0.1", "zone=" + zone, "region=region-a",
		"zones.zone-a=region-a", "zones.zone-b=region-a", "zones.zone-c=region-a",
		"listen.frontend=" + a[0], "listen.ready=" + a[1], "listen.control_plane=" + a[2], "bootstrap=true",
		"limits.cpu_share=0.16", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000", "bounds.evacuate_ms=5000",
		"bounds.recovery_s=12", "bounds.hold_max_ms=6000", "bounds.stop_ms=400", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", fmt.Sprintf("bounds.status_s=%d", int64(status/clock.Second)), "bounds.remote_factor=2", "bounds.checkpoint_s=0.5", "bounds.restore_ms=100",
		"bounds.notice_ms=4500", "bounds.migrate_s=1.5", "bounds.maintenance_s=2", "bounds.fencing_enforced=true", "bounds.lease_ms=3000", "bounds.interference_ms=4000",
		"control_mode=invocation", "platform.addr=" + store, "platform.form=log", "platform.writes_per_s=600", "platform.reads_per_s=2000",
		fmt.Sprintf("platform.record_bytes=%d", recordBytes), fmt.Sprintf("platform.request_bytes=%d", requestBytes), "platform.keep_s=300", "",
	}, "\n")
	return errors.Wrap(os.WriteFile(filepath.Join(w.dir, name+".conf"), []byte(text), 0o600), "settings")
}

// stepOf returns the step of a task, and false if no consumer has sent its job.
func (w *world) stepOf(task string) (wireStep, bool) {
	f := strings.Split(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[f[0]]
	if j == nil || len(f) != 4 {
		return wireStep{}, false
	}
	i, err := strconv.Atoi(f[2])
	if err != nil || i < 0 || i >= len(j.phases) {
		return wireStep{}, false
	}
	return j.phases[i], true
}

func (w *world) onOrder(c executorCall, known bool) {
	if !known {
		w.rec.write("an executor is told to start %s, which no consumer sent", c.Task)
	}
}

func (w *world) onStart(f *life, r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[strings.Split(r.task, ".")[0]]
	j.starts++
	if j.noted[r.task] {
		j.again = append(j.again, r.task)
	}
	j.running[r.task]++
	if r.step.Count <= 16 {
		w.rec.write("%s starts %s attempt %d", f.e.id, r.task, r.attempt)
	}
}

func (w *world) onEnd(f *life, r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[strings.Split(r.task, ".")[0]]
	j.running[r.task]--
	switch how {
	case "done":
		j.noteDone(r.task)
	case "failed":
		j.failed++
	}
	if r.step.Count <= 16 {
		w.rec.write("%s ends %s attempt %d %s", f.e.id, r.task, r.attempt, how)
	}
}

// onNoted must be called when the end of a run that was done is acknowledged, if the lease has not lapsed
// since.
func (w *world) onNoted(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[strings.Split(task, ".")[0]].noted[task] = true
}

// onLost must be called for each run that ends with its executor.
func (w *world) onLost(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[strings.Split(task, ".")[0]].running[task]--
}

// call sends a request of a consumer to a host and returns the status and the body; 0 without an
// answer.
func (w *world) call(method string, host int, id, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return w.callUntil(ctx, method, host, id, body)
}
