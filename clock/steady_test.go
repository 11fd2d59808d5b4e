package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeClocks are the clocks of a host that can be suspended.
type fakeClocks struct {
	monotonic, system, boot time.Duration
	// bootReads is the number of readings of boot.
	bootReads int
}

func (c *fakeClocks) advance(d time.Duration) {
	c.monotonic, c.system, c.boot = c.monotonic+d, c.system+d, c.boot+d
}

func (c *fakeClocks) steady() *steady {
	read := func() (time.Duration, time.Duration) { return c.monotonic, c.system }
	sinceBoot := func() time.Duration {
		c.bootReads++
		return c.boot
	}
	return newSteady(read, sinceBoot, c.system)
}

func TestSteady(t *testing.T) {
	const suspended = 3 * time.Second
	tests := map[string]struct {
		change func(*fakeClocks)
		want   Millis
	}{
		"time passes":                 {change: func(c *fakeClocks) { c.advance(100 * time.Millisecond) }, want: 100},
		"the host is suspended":       {change: func(c *fakeClocks) { c.system, c.boot = c.system+suspended, c.boot+suspended }, want: 3000},
		"the system clock is set":     {change: func(c *fakeClocks) { c.system -= time.Hour }, want: 0},
		"set back while suspended":    {change: func(c *fakeClocks) { c.boot += suspended; c.advance(2 * time.Second) }, want: 5000},
		"many readings in one second": {change: func(c *fakeClocks) { c.advance(900 * time.Millisecond) }, want: 900},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &fakeClocks{system: time.Hour, boot: time.Minute}
			s := c.steady()
			start := s.now()
			must.Eq(t, Hour, start)
			tt.change(c)
			must.Eq(t, tt.want, s.now()-start)
		})
	}
}

// TestSteadyReadsBootClockRarely guards against a system call for each reading.
func TestSteadyReadsBootClockRarely(t *testing.T) {
	c := &fakeClocks{}
	s := c.steady()
	last := s.now()
	for range 10_000 {
		c.advance(time.Millisecond)
		now := s.now()
		must.Eq(t, last+1, now)
		last = now
	}
	must.LessEq(t, 15, c.bootReads)
}
