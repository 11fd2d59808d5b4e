package retrier

import "galenawharf.example/galenawharf/clock"

const (
	// MaxAttempts is the most attempts for one request, hedges included.
	MaxAttempts = 4

	firstPause = 4 * clock.Millis(1)
)

// Pause gives how long to wait before the attempt after n failed ones: a
// random part, by r, of a bound that doubles each time.
func Pause(n int, r uint64) clock.Millis {
	bound := uint64(firstPause) << min(max(n-1, 0), MaxAttempts)
	return clock.Millis(r % (bound + 1))
}

// Jitter gives a time between d and one and a half of d, by r.
func Jitter(d clock.Millis, r uint64) clock.Millis {
	return d + clock.Millis(r%uint64(max(d/2, 0)+1))
}
