package conductor

import (
	"runtime/debug"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/logger"
)

// guard runs a step of the scheduler's goroutine. A panic ends the term, since the state may be
// inconsistent, but not the process: the next leader loads the state from the store.
func (c *Conductor) guard(f func()) {
	if err := recovered(f); err != nil {
		c.emit(logger.TermFailed, logger.Int("epoch", c.epoch), logger.Err(err))
		c.end("unexpected error")
	}
}

// skipInvalid applies what was read under a key by f. If f panics, it is logged and left out.
func (c *Conductor) skipInvalid(key string, f func()) {
	if err := recovered(f); err != nil {
		c.emit(logger.RecordInvalid, logger.String("key", key), logger.Err(err))
	}
}

// recovered runs f and returns an error with the stack if f panics.
func recovered(f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("conductor: panic: %v\n%s", p, debug.Stack())
		}
	}()
	f()
	return nil
}
