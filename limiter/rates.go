package limiter

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Rates bounds the jobs of each tenant: in any window at most rate*window*(1+excess)+tolerance
	// are accepted. A refused job gets a slot in which it is accepted if it returns. Tenants don't
	// influence each other. It is not safe for concurrent use.
	Rates struct {
		window    clock.Millis
		excess    float64
		tolerance int
		tenants   map[string]*tenantRate
	}

	// tenantRate is the rate of one tenant. All slices are ordered by time.
	tenantRate struct {
		window clock.Millis
		// perSecond is the plain rate, limit the most jobs in a window.
		perSecond float64
		limit     int
		// accepted are the times of the jobs that were accepted within the last window; of more
		// than limit only the last ones, as these exhaust the limit for as long.
		accepted []clock.Millis
		// slots are the reservations that may still be used, slotOf has their times by job.
		slots  []slot
		slotOf map[string]clock.Millis
		// maxSlots is the most slots at a time. It grows with each slot that is used, and shrinks
		// with each that is not.
		maxSlots int
		// asked counts the jobs of the last second by parts of it; askedPart is the newest part.
		asked     [askedParts]int
		askedPart int64
	}

	// slot reserves the acceptance of a job from a time on.
	slot struct {
		at clock.Millis
		id string
	}
)

const (
	// maxRetryAfter is how far ahead a slot may be: the longest Retry-After of the platform's
	// refusals.
	maxRetryAfter = 10 * clock.Second
	// slotValidity is how long a slot may be used: callers add a jitter to Retry-After, which is
	// rounded up to a second, and may have to find another host.
	slotValidity = 5 * clock.Second
	// maxSlots bounds the slots of a tenant, so that a flood costs at most about 100 KB of memory a
	// tenant. 10 s at the rate of the heaviest tenants known have a tenth of that.
	maxSlots = 1024
	// unusedDivisor sets by how much a slot that was not used lowers the most slots at a time: by
	// 1/unusedDivisor. If one caller in ten does not return, some 250 slots remain.
	unusedDivisor = 32
	// askedParts is the number of parts of the second over which the plain rate is measured.
	askedParts  = 10
	askedLength = clock.Second / askedParts
	// roundingError is more than the rounding errors of a limit, and less than a job.
	roundingError = 1e-6
)

// NewRates returns rates without tenants.
func NewRates(window clock.Millis, excess float64, tolerance int) *Rates {
	return &Rates{window: max(window, 1), excess: max(excess, 0), tolerance: max(tolerance, 0), tenants: map[string]*tenantRate{}}
}

// SetRates replaces the tenants and their rates in jobs a second. A rate below 0 counts as 0. What
// was counted and reserved of a tenant stays while it has a rate.
func (r *Rates) SetRates(perSecond map[string]float64) {
	tenants := make(map[string]*tenantRate, len(perSecond))
	for name, rate := range perSecond {
		t := r.tenants[name]
		added := t == nil
		if added {
			t = &tenantRate{window: r.window, slotOf: map[string]clock.Millis{}}
		}
		t.perSecond = max(rate, 0)
		limit := t.perSecond*float64(r.window)/float64(clock.Second)*(1+r.excess) + float64(r.tolerance)
		t.limit = int(min(limit+roundingError, math.MaxInt32))
		if added {
			t.maxSlots = min(t.limit, maxSlots)
		}
		tenants[name] = t
	}
	r.tenants = tenants
}

// Window returns the length of the window.
func (r *Rates) Window() clock.Millis { return r.window }

// Has reports whether a tenant has a rate.
func (r *Rates) Has(name string) bool { return r.tenants[name] != nil }

// Admit reports whether a job of a tenant is accepted, and counts it if so. If not, the job has a
// slot after retryAfter, unless too many others wait. A tenant without a rate is not limited.
func (r *Rates) Admit(name, id string, now clock.Millis) (retryAfter clock.Millis, admitted bool) {
	t := r.tenants[name]
	if t == nil {
		return 0, true
	}
	t.expire(now)
	at, reserved := t.slotOf[id]
	if reserved && now >= at {
		t.drop(id)
		t.count(now)
		t.maxSlots = min(t.maxSlots+1, maxSlots)
		return 0, true
	}
	if reserved {
		// Without its own slot, a job that returns too soon may find room.
		t.drop(id)
	}
	if t.hasRoom(now) {
		t.count(now)
		return 0, true
	}
	if !reserved {
		at, reserved = t.nextSlot(now)
	}
	if !reserved {
		return maxRetryAfter, false
	}
	t.insert(slot{at, id})
	return at - now, false
}

// Count counts a job that was accepted at a time without Admit, and frees its slot.
func (r *Rates) Count(name, id string, at, now clock.Millis) {
	t := r.tenants[name]
	if t == nil {
		return
	}
	t.drop(id)
	if at = min(at, now); at > now-r.window {
		t.count(at)
	}
}

// Asked notes that a tenant has sent a job.
func (r *Rates) Asked(name string, now clock.Millis) {
	if t := r.tenants[name]; t != nil {
		t.rollAsked(now)
		t.asked[t.askedPart%askedParts]++
	}
}

// Beyond reports whether a tenant has sent more jobs in the last second than its rate allows,
// accepted or not. One job a second is not too much for any tenant.
func (r *Rates) Beyond(name string, now clock.Millis) bool {
	t := r.tenants[name]
	if t == nil {
		return false
	}
	t.rollAsked(now)
	sum := 0
	for _, n := range t.asked {
		sum += n
	}
	return float64(sum) > max(t.perSecond, 1)
}

// rollAsked clears the parts of asked that are over.
func (t *tenantRate) rollAsked(now clock.Millis) {
	part := int64(now / askedLength)
	for range min(max(part-t.askedPart, 0), askedParts) {
		t.askedPart++
		t.asked[t.askedPart%askedParts] = 0
	}
	t.askedPart = max(t.askedPart, part)
}
