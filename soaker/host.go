package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/platform"
)

type (
	// host is a daemon that runs as a separate process, which is restarted whenever it
	// ends, until stop is called.
	host struct {
		name     string
		binary   string
		dir      string
		address  string
		mu       sync.Mutex
		process  *os.Process
		stopping bool
		// down is the time from the end of the process to the start of the next.
		down clock.Millis
		// started is called at each start of a process.
		started func()
		// killed counts the signals that ended a process, ownExits the processes that ended
		// by themselves with an error.
		killed, ownExits int
		done             chan struct{}
	}
)

// restartDelay is the usual time from the end of a process to the start of the next.
const restartDelay = 100 * clock.Millis(1)

// start writes the settings to a file and starts the process, whose output is appended to a
// log file.
func (h *host) start(settings string) error {
	path := filepath.Join(h.dir, h.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "soaker.host.start")
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soaker.host.start")
	}
	h.done = make(chan struct{})
	started := make(chan error, 1)
	go func() {
		defer close(h.done)
		for first := true; ; first = false {
			c := exec.Command(h.binary)
			c.Env = []string{fmt.Sprintf("%s=%s", platform.SettingsVariable, path)}
			c.Stdout, c.Stderr = log, log
			h.mu.Lock()
			if h.stopping {
				h.mu.Unlock()
				return
			}
			err := c.Start()
			h.started()
			h.process = c.Process
			h.mu.Unlock()
			if first {
				started <- err
			}
			if err != nil {
				return
			}
			// A process that was killed by a signal has the exit code -1.
			_ = c.Wait()
			h.mu.Lock()
			if c.ProcessState.ExitCode() > 0 {
				h.ownExits++
			}
			down := h.down
			h.down = restartDelay
			h.mu.Unlock()
			time.Sleep(down.Duration())
		}
	}()
	return errors.Wrap(<-started, "soaker.host.start")
}

// setDown sets the time from the next end of the process to the start after it.
func (h *host) setDown(d clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = d
}

// signal sends a signal to the process, if it has been started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// It fails if the process has just ended, which is fine.
	if h.process != nil && h.process.Signal(s) == nil && !h.stopping && (s == syscall.SIGKILL || s == syscall.SIGTERM) {
		h.killed++
	}
}

// ends returns how many processes were killed and how many ended by themselves.
func (h *host) ends() (killed, ownExits int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed, h.ownExits
}

// stop kills the process and does not restart it. It sends SIGCONT first, in case the
// process is suspended by SIGSTOP.
func (h *host) stop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.done
}
