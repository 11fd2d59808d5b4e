package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"galenawharf.example/galenawharf/clock"
)

// callUntil is call with a time limit of its own.
func (w *world) callUntil(ctx context.Context, method string, host int, id, body string) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.hosts[host]+routePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = routeHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Galenawharf-Deadline-Ms", "3000")
	resp, err := w.client.Do(r)
	if err != nil {
		return 0, nil
	}
	b, err := io.ReadAll(resp.Body)
	// An error on close doesn't matter: the body is read.
	_ = resp.Body.Close()
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// newJob makes a job that is not sent yet.
func (w *world) newJob(class, spec string, phases []wireStep) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &job{id: fmt.Sprintf("%016x", w.random.Uint64()), spec: spec, class: class, phases: phases, running: map[string]int{}, seen: map[string]bool{}, noted: map[string]bool{}, doneTasks: map[string]int{}}
	w.jobs[j.id] = j
	return j
}

// body returns the job as it is sent. A job that is repeated has its first occurrence a second from
// now.
func (j *job) body(period clock.Millis) string {
	v := map[string]any{"spec": j.spec, "phases": j.phases}
	if j.repeat > 0 {
		v["repeat_count"], v["period_ms"], v["start_at_ms"] = j.repeat, int64(period), int64(clock.System()+clock.Second)
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// submit sends a job until it is answered with success, to a random host each time, at most tries
// times. It reports whether it was.
func (w *world) submit(j *job, period clock.Millis, tries int) bool {
	body := j.body(period)
	for range tries {
		h := w.randomHost()
		status, _ := w.call(http.MethodPost, h, j.id, body)
		w.rec.write("POST %s (%s) to host-%d: %d", j.id, j.class, h, status)
		if status >= 200 && status < 300 {
			w.mu.Lock()
			j.accepted = w.rec.now()
			w.mu.Unlock()
			return true
		}
		sleep(clock.Second)
	}
	return false
}

func (w *world) randomHost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(len(w.hosts))
}

// ask asks for the state of a job, of one host after the other, until one answers. It returns the
// state, "410", or "" without an answer in the given time.
func (w *world) ask(j *job, limit clock.Millis) string {
	from := w.rec.now()
	for i := 0; ; i++ {
		status, b := w.call(http.MethodGet, i%len(w.hosts), j.id, "")
		switch status {
		case http.StatusGone:
			return "410"
		case http.StatusOK:
			var v struct {
				State string `json:"state"`
			}
			if json.Unmarshal(b, &v) == nil {
				return v.State
			}
		}
		if w.rec.now()-from > limit {
			return ""
		}
		sleep(200)
	}
}

// awaitReady waits until a host answers a question about a job.
func (w *world) awaitReady(limit clock.Millis) bool {
	for w.rec.now() < limit {
		if status, _ := w.call(http.MethodGet, 0, "0000000000000000", ""); status == http.StatusGone {
			return true
		}
		sleep(100)
	}
	return false
}
