package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/platform"
)

type (
	// host is one daemon as a process of its own, which is started again whenever it
	// has ended.
	host struct {
		name     string
		binary   string
		dir      string
		address  string
		mu       sync.Mutex
		process  *os.Process
		stopping bool
		ended    chan struct{}
	}
)

// start writes the settings and starts the process.
func (h *host) start(settings string) error {
	path := filepath.Join(h.dir, h.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "soaker.host.start")
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soaker.host.start")
	}
	h.ended = make(chan struct{})
	running := make(chan error, 1)
	go func() {
		defer close(h.ended)
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
			h.process = c.Process
			h.mu.Unlock()
			if first {
				running <- err
			}
			if err != nil {
				return
			}
			// How it ended does not matter: signals are part of the soak.
			_ = c.Wait()
		}
	}()
	return errors.Wrap(<-running, "soaker.host.start")
}

// signal sends a signal to the process, if there is one.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		// A process that has just ended needs no signal.
		_ = h.process.Signal(s)
	}
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
}
