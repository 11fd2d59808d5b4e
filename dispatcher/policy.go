package dispatcher

import (
	"galenawharf.example/galenawharf/apportioner"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/router"
)

type (
	// policy holds the decisions of the dispatcher that can be replaced. TestTrials replaces
	// them one at a time to measure the effect of each.
	policy struct {
		// pick reserves a slot of an executor that is not in tried, or returns nil.
		pick func(p *router.Pool, r uint64, mean clock.Millis, tried []*router.Target) *router.Target
		// share returns the slots of the executor at an address that an entry host may
		// use.
		share func(t *apportioner.Table, entry, address string) int
		// pace returns how fast the queue of a service is expected to advance, and the
		// latency of a request once it has started.
		pace func(s *service) limiter.Pace
		// standingQueueAfter is how long a queue may stay non-empty before new requests
		// are refused unless they can be answered within the latency target.
		standingQueueAfter clock.Millis
		// hedgeAfter returns the delay before a hedge, by default the 95th percentile of
		// the latency.
		hedgeAfter func(l *router.Latency) clock.Millis
		// silentAfter returns the silence timeout of the n-th attempt.
		silentAfter func(l *router.Latency, n int) clock.Millis
		// eject returns the executors whose state changes.
		eject func(e *ejector.Ejector, now clock.Millis, reports []ejector.Report) []ejector.Change
	}
)

const (
	// minHedgeAfter is the shortest delay before a hedge.
	minHedgeAfter = 2 * clock.Millis(1)
	// The silence timeout of the first attempt is silentFactor times the 99th percentile
	// of the latency, at least minSilentAfter, and doubles with each further attempt of a
	// request.
	silentFactor   = 2
	minSilentAfter = 50 * clock.Millis(1)
	// coldSilentAfter is the silence timeout of the first attempt while the percentile
	// isn't known. It doubles with each further attempt, too.
	coldSilentAfter = 5 * clock.Second
)

var defaultPolicy = policy{
	pick:               (*router.Pool).Pick,
	share:              (*apportioner.Table).Share,
	pace:               (*service).pace,
	standingQueueAfter: 200 * clock.Millis(1),
	hedgeAfter:         hedgeAfter,
	silentAfter:        silentAfter,
	eject:              (*ejector.Ejector).Step,
}

func hedgeAfter(l *router.Latency) clock.Millis {
	if l.P95() == 0 {
		return clock.Never
	}
	return max(l.P95(), minHedgeAfter)
}

func silentAfter(l *router.Latency, n int) clock.Millis {
	if l.P99() == 0 {
		return coldSilentAfter << (n - 1)
	}
	return max(silentFactor*l.P99(), minSilentAfter) << (n - 1)
}
