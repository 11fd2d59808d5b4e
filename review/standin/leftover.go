package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"galenawharf.example/galenawharf/clock"
)

const (
	// The leader freezes for freezeTime, and silentDelay after it has woken the store does not answer it
	// for silentTime. That happens disruptions times, with disruptionGap before and after.
	freezeTime    = 1660 * clock.Millis(1)
	silentDelay   = 420 * clock.Millis(1)
	silentTime    = 500 * clock.Millis(1)
	disruptions   = 3
	disruptionGap = 2 * clock.Second
	// checkTime is how long jobs are sent, one each checkInterval.
	checkTime     = 16 * clock.Second
	checkInterval = 25 * clock.Millis(1)
	// leftoverStatus is status_s of the settings of this scenario, so that it ends within two minutes.
	leftoverStatus = 60 * clock.Second
	// statusMargin is how much longer it is waited.
	statusMargin = 5 * clock.Second
	// submitTries is the first attempt of a consumer and its retries; settleTime is how long jobs get to end
	// before their states are asked for, askTime how long one may take to be answered.
	submitTries = 5
	settleTime  = 2 * clock.Second
	askTime     = 3 * clock.Second
	// restartWait is how long it is looked at what runs after the leader was stopped.
	restartWait = 10 * clock.Second
)

// playLeftover sends short jobs as the store does not answer the leader at times, waits until they have ended and their
// states need no longer be known, and then stops and starts the leader. No task may run again.
func playLeftover(w *world, trouble bool) ([]string, bool) {
	until := w.rec.now() + checkTime
	var group sync.WaitGroup
	if trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			for range disruptions {
				sleep(disruptionGap)
				w.freezeLeader()
			}
			w.rec.write("the store answers all again")
		}()
	}
	for w.rec.now() < until {
		j := w.newJob("check", "500", []wireStep{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 500}})
		group.Add(1)
		go func() {
			defer group.Done()
			w.submit(j, 0, submitTries)
		}()
		sleep(checkInterval)
	}
	group.Wait()
	sleep(settleTime)
	w.askAll()
	w.rec.write("all jobs are accepted or given up; nothing disturbs for %d ms", int64(leftoverStatus+statusMargin))
	sleep(leftoverStatus + statusMargin)
	if !w.signalLeader(syscall.SIGTERM) {
		return nil, false
	}
	sleep(restartWait)
	var broken []string
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		for _, t := range j.again {
			broken = append(broken, t+" was started after a run had ended done and that end was acknowledged; its job had been shown as "+j.shown)
		}
	}
	return broken, true
}

// askAll asks for the states of all accepted jobs.
func (w *world) askAll() {
	counts := map[string]int{}
	for _, j := range w.accepted() {
		state := w.ask(j, askTime)
		w.mu.Lock()
		j.shown = state
		w.mu.Unlock()
		counts[state]++
	}
	w.rec.write("states shown: %v", counts)
}

func (w *world) accepted() []*job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var js []*job
	for _, j := range w.jobs {
		if j.accepted != 0 {
			js = append(js, j)
		}
	}
	return js
}

// noteClaim remembers which host leads.
func (w *world) noteClaim(topic, key string, value []byte) {
	var claim struct {
		Host string `json:"host"`
	}
	if topic != "keyed.leader" || key != "leader" || json.Unmarshal(value, &claim) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leader != claim.Host {
		w.rec.write("%s leads", claim.Host)
	}
	w.leader = claim.Host
	select {
	case w.renewed <- struct{}{}:
	default:
	}
}

// freezeLeader stops the process of the host that leads, as the answer to its renewal is on its way, and
// continues it. A moment later the store does not answer that host for a while.
func (w *world) freezeLeader() {
	<-w.renewed
	<-w.renewed
	if !w.signalLeader(syscall.SIGSTOP) {
		return
	}
	frozen := w.leading()
	sleep(freezeTime)
	if !w.signal(frozen, syscall.SIGCONT) {
		return
	}
	sleep(silentDelay)
	w.store.setSilentTo(frozen)
	sleep(silentTime)
	w.store.setSilentTo("")
}

func (w *world) leading() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader
}

// signalLeader sends a signal to the process of the host that leads.
func (w *world) signalLeader(s syscall.Signal) bool { return w.signal(w.leading(), s) }

// signal sends a signal to the process of a host. The script starts one again that has ended.
func (w *world) signal(name string, s syscall.Signal) bool {
	b, err := os.ReadFile(filepath.Join(w.dir, name+".pid"))
	if err != nil {
		w.rec.write("can't signal %s: %v", name, err)
		return false
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(b)))
	if err != nil {
		w.rec.write("can't signal %s: %v", name, err)
		return false
	}
	w.rec.write("signal to %s: %v", name, s)
	return syscall.Kill(pid, s) == nil
}
