package server

import "galenawharf.example/galenawharf/coder"

type (
	// validator keeps the first error in a request.
	validator struct {
		fault *coder.Error
	}
)

func (c *validator) add(code coder.Code, path, format string, args ...any) {
	if c.fault == nil {
		c.fault = coder.At(code, path, format, args...)
	}
}

func (c *validator) name(path, name string) {
	switch {
	case name == "":
		c.add(coder.Missing, path, "must be given")
	case len(name) > maxNameBytes:
		c.add(coder.TooLarge, path, "%d bytes are more than %d", len(name), maxNameBytes)
	}
}

func (c *validator) payload(p []byte, limit int) {
	if len(p) > limit {
		c.add(coder.TooLarge, "payload", "%d bytes are more than %d", len(p), limit)
	}
}

func (c *validator) millis(path string, n int64) {
	if n < 0 || n > maxDurationMillis {
		c.add(coder.OutOfRange, path, "%d is not between 0 and %d", n, maxDurationMillis)
	}
}
