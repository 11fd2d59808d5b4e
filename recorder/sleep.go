package recorder

import (
	"context"
	"time"

	"galenawharf.example/galenawharf/clock"
)

// Sleep waits for d and returns true, or returns false if the context ends before.
func Sleep(ctx context.Context, d clock.Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
