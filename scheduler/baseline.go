package scheduler

import (
	"math"

	"galenawharf.example/galenawharf/clock"
)

type (
	// baseline follows the headroom that the serving tasks of one step would have without
	// fillers. The tasks share their users, whose load swings with a period that is not
	// known beforehand, so there is a fit for each period of the calendar.
	baseline struct {
		calendar *calendar
		fits     []harmonic
		at       clock.Millis
	}

	// harmonic is a mean and an oscillation of one period, followed by a Kalman filter.
	harmonic struct {
		state      [3]float64
		covariance [3][3]float64
	}

	// calendar tells which period fits the load of all users best.
	calendar struct {
		// misfits are sums of the squared errors of the fits in multiples of what they
		// expect, one for each of periods.
		misfits []float64
		// chosen is the index of the lowest.
		chosen int
		// phases are those of all periods at a time.
		phases [][3]float64
		at     clock.Millis
	}
)

const (
	// idleHeadroom is the headroom of a task without users: objectives are 4.5 times the
	// tail of an idle task, from the users' sheets.
	idleHeadroom = 4.5
	// meanLoad is the mean load of the users of a task, and swingShare how much of it the
	// load swings up and down, from the users' sheets.
	meanLoad   = 0.42
	swingShare = 0.5
	// levelDeviation is how far the mean headroom may be from what follows from them.
	levelDeviation = 0.3
	// harmonicDrift is the variance that each part of a fit gains in a second: half the
	// swing of the load in a minute.
	harmonicDrift = 0.004
	// shortestPeriod and longestPeriod bound the periods that are tried, in seconds; each
	// is longer than the one before by periodRatio. The users' loads swing in 10 to 14 s.
	shortestPeriod = 5.0
	longestPeriod  = 40.0
	periodRatio    = 1.06
	// usualPeriod is taken before one fits better than the others.
	usualPeriod = 10.0
	// misfitMemory is the weight of a misfit after the next reading: about half a minute
	// of readings of a large deployment.
	misfitMemory = 0.99999
	// inheritedPreference is what the misfits of the period of a former leader are less.
	inheritedPreference = 100.0
	// outlier is the error, in deviations, from which a reading counts less.
	outlier = 2.5
	// gaugeAge is how old a gauge is when it is reported: it covers half a second, and
	// is read at any time of the next one.
	gaugeAge = 400 * clock.Millis(1)
)

// periods are those that are tried, in milliseconds.
var periods = func() []float64 {
	var ps []float64
	for p := shortestPeriod; p <= longestPeriod; p *= periodRatio {
		ps = append(ps, p*float64(clock.Second))
	}
	return ps
}()

func newCalendar() *calendar {
	c := &calendar{misfits: make([]float64, len(periods))}
	for i, p := range periods {
		// A slight preference, which a second of readings outweighs.
		c.misfits[i] = math.Abs(math.Log(p / (usualPeriod * float64(clock.Second))))
	}
	c.choose()
	return c
}

// prefer takes a period that fitted a former leader's readings for the best until the
// readings of some seconds say otherwise.
func (c *calendar) prefer(period int) {
	if period >= 0 && period < len(c.misfits) {
		c.misfits[period] -= inheritedPreference
		c.choose()
	}
}

// choose notes the period that fits best.
func (c *calendar) choose() {
	for i, m := range c.misfits {
		if m < c.misfits[c.chosen] {
			c.chosen = i
		}
	}
}

// phasesAt returns the parts of the fits of all periods at a time. Readings come
// several at a time.
func (c *calendar) phasesAt(at clock.Millis) [][3]float64 {
	if c.phases == nil {
		c.phases = make([][3]float64, len(periods))
	}
	if c.at != at {
		c.at = at
		for i, p := range periods {
			c.phases[i] = phase(p, at)
		}
	}
	return c.phases
}

func newBaseline(c *calendar) *baseline {
	b := &baseline{calendar: c, fits: make([]harmonic, len(periods))}
	amplitude := idleHeadroom * meanLoad * swingShare
	for i := range b.fits {
		b.fits[i].state[0] = idleHeadroom * (1 - meanLoad)
		b.fits[i].covariance = [3][3]float64{{levelDeviation * levelDeviation}, {0, amplitude * amplitude / 2}, {0, 0, amplitude * amplitude / 2}}
	}
	return b
}

// phase returns the parts of a fit at a time.
func phase(period float64, at clock.Millis) [3]float64 {
	sin, cos := math.Sincos(2 * math.Pi * math.Mod(float64(at), period) / period)
	return [3]float64{1, cos, sin}
}

// expect returns the headroom without fillers at a time.
func (b *baseline) expect(at clock.Millis) float64 {
	i := b.calendar.chosen
	return math.Max(b.fits[i].value(phase(periods[i], at)), 0)
}

// variance returns that of the headroom without fillers at a time.
func (b *baseline) variance(at clock.Millis) float64 {
	i := b.calendar.chosen
	_, variance, _ := b.fits[i].predict(phase(periods[i], at))
	return variance
}

// least returns the lower of the headrooms at two times.
func (b *baseline) least(from, to clock.Millis) float64 {
	return math.Min(b.expect(from), b.expect(to))
}

func (h *harmonic) value(x [3]float64) float64 {
	return h.state[0]*x[0] + h.state[1]*x[1] + h.state[2]*x[2]
}

// predict returns the value of a fit, its variance, and the gain before scaling.
func (h *harmonic) predict(x [3]float64) (value, variance float64, gain [3]float64) {
	value = h.value(x)
	for i := range x {
		for j := range x {
			gain[i] += h.covariance[i][j] * x[j]
		}
		variance += x[i] * gain[i]
	}
	return value, variance, gain
}

// learn takes in a reading of the headroom without fillers, with its variance.
func (b *baseline) learn(at clock.Millis, headroom, variance float64) {
	elapsed := 0.0
	if b.at != 0 && at > b.at {
		elapsed = float64(at-b.at) / float64(clock.Second)
	}
	b.at = max(at, b.at)
	phases := b.calendar.phasesAt(at)
	for i := range b.fits {
		h := &b.fits[i]
		for k := range h.state {
			h.covariance[k][k] += harmonicDrift * elapsed
		}
		value, spread, gain := h.predict(phases[i])
		miss, sum := headroom-value, spread+variance
		b.calendar.misfits[i] = misfitMemory*b.calendar.misfits[i] + math.Min(miss*miss/sum, outlier*outlier)
		if excess := miss * miss / (sum * outlier * outlier); excess > 1 {
			sum *= excess
		}
		for k := range gain {
			h.state[k] += gain[k] / sum * miss
			for l := range gain {
				h.covariance[k][l] -= gain[k] * gain[l] / sum
			}
		}
	}
	b.calendar.choose()
}

// baselineOf returns the baseline of the step of a serving task.
func (s *Scheduler) baselineOf(t *task) *baseline {
	o := t.occurrence
	b := o.baselines[t.step]
	if b == nil {
		if o.baselines == nil {
			o.baselines = map[int]*baseline{}
		}
		b = newBaseline(s.calendar)
		o.baselines[t.step] = b
	}
	return b
}
