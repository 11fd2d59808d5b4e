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
			w.submit(j, 0, 10)
		}()
		sleep(checkInterval)
	}
	group.Wait()
	w.rec.write("all jobs are accepted or given up; nothing disturbs for %d ms", int64(leftoverStatus+statusMargin))
	sleep(leftoverStatus + statusMargin)
	before := w.doneStarts()
	if !w.signalLeader(syscall.SIGTERM) {
		return nil, false
	}
	sleep(restartWait)
	var broken []string
	w.mu.Lock()
	defer w.mu.Unlock()
	for j, n := range before {
		if j.starts > n {
			broken = append(broken, j.id+" had ended done with "+strconv.Itoa(n)+" starts, and its tasks were started "+strconv.Itoa(j.starts-n)+" times again")
		}
	}
	return broken, true
}

// doneStarts returns the number of starts of each job of which all tasks have ended done.
func (w *world) doneStarts() map[*job]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := map[*job]int{}
	for _, j := range w.jobs {
		if j.turn() == "" {
			m[j] = j.starts
		}
	}
	w.rec.write("%d jobs have ended done, of %d", len(m), len(w.jobs))
	return m
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
