package dispatcher

import (
	"galenawharf.example/galenawharf/apportioner"
	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/ejector"
	"galenawharf.example/galenawharf/limiter"
	"galenawharf.example/galenawharf/router"
)

type (
	// policy is the decisions on the path of a request.
	policy struct {
		// pick begins an attempt at one of the executors that are not in tried, or gives nil.
		pick func(p *router.Pool, r uint64, usual clock.Millis, tried []*router.Target) *router.Target
		// share gives the units of the executor at an address that an entry host may use.
		share func(t *apportioner.Table, entry, address string) int
		// pace gives how fast requests to a service are served.
		pace func(s *service) limiter.Pace
		// standingAfter is how long requests wait without a break before the
		// queue is kept as short as the latency target asks for.
		standingAfter clock.Millis
		// hedgeAfter gives how long an attempt goes alone.
		hedgeAfter func(l *router.Latency) clock.Millis
		// silentAfter gives how long the n-th attempt may go without an answer.
		silentAfter func(l *router.Latency, n int) clock.Millis
		// eject gives the executors that change their state.
		eject func(e *ejector.Ejector, now clock.Millis, reports []ejector.Report) []ejector.Change
	}
)

const (
	minHedge = 2 * clock.Millis(1)
	// An attempt is taken for silent after silentFactor times the 99th
	// percentile of the latency, but not before minSilent; each later attempt
	// of the same request has twice the time.
	silentFactor = 2
	minSilent    = 50 * clock.Millis(1)
	// While the percentile isn't known, an attempt has coldSilent.
	coldSilent = 5 * clock.Second
)

var defaultPolicy = policy{
	pick:          (*router.Pool).Pick,
	share:         (*apportioner.Table).Share,
	pace:          (*service).pace,
	standingAfter: 200 * clock.Millis(1),
	hedgeAfter:    hedgeAfter,
	silentAfter:   silentAfter,
	eject:         (*ejector.Ejector).Step,
}

func hedgeAfter(l *router.Latency) clock.Millis {
	if l.P95() == 0 {
		return clock.Never
	}
	return max(l.P95(), minHedge)
}

func silentAfter(l *router.Latency, n int) clock.Millis {
	if l.P99() == 0 {
		return coldSilent << (n - 1)
	}
	return max(silentFactor*l.P99(), minSilent) << (n - 1)
}
