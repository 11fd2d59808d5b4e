package server

import "galenawharf.example/galenawharf/coder"

type (
	// checks collects the first fault of a message from outside.
	checks struct {
		fault *coder.Error
	}
)

func (c *checks) add(code coder.Code, path, format string, args ...any) {
	if c.fault == nil {
		c.fault = coder.At(code, path, format, args...)
	}
}

func (c *checks) name(path, name string) {
	switch {
	case name == "":
		c.add(coder.Missing, path, "must be given")
	case len(name) > maxName:
		c.add(coder.TooLarge, path, "%d bytes are more than %d", len(name), maxName)
	}
}

func (c *checks) payload(p []byte, limit int) {
	if len(p) > limit {
		c.add(coder.TooLarge, "payload", "%d bytes are more than %d", len(p), limit)
	}
}

func (c *checks) millis(path string, n int64) {
	if n < 0 || n > maxMillis {
		c.add(coder.OutOfRange, path, "%d is not between 0 and %d", n, maxMillis)
	}
}
