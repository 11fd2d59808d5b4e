package retrier

import "galenawharf.example/galenawharf/clock"

const (
	// MaxAttempts is the maximum number of attempts for one request, hedges included.
	MaxAttempts = 4

	// baseBackoff is the upper bound of the delay after the first failure.
	baseBackoff = 4 * clock.Millis(1)
)

// Backoff returns the delay before the next attempt after n failures: exponential backoff
// with full jitter. r is a random number.
func Backoff(n int, r uint64) clock.Millis {
	bound := uint64(baseBackoff) << min(max(n-1, 0), MaxAttempts)
	return clock.Millis(r % (bound + 1))
}

// Jitter returns a random duration between d and 1.5 d. r is a random number.
func Jitter(d clock.Millis, r uint64) clock.Millis {
	return d + clock.Millis(r%uint64(max(d/2, 0)+1))
}
