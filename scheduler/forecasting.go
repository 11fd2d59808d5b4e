package scheduler

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/estimator"
)

type (
	// runTimes learns how long the runs of each queue take.
	runTimes struct {
		estimator *estimator.Estimator
		forecasts map[string]cachedForecast
		// ratio is the moving average of the ratio of the actual to the forecast run time, late
		// that of the share of runs that end after their forecast.
		ratio, late float64
	}

	cachedForecast struct {
		forecast estimator.Forecast
		at       clock.Millis
	}
)

const (
	// defaultRunTime is the forecast for a task whose run time is neither declared nor known: that of
	// the short queue in docs/design/packing.md.
	defaultRunTime = clock.Second
	// forecastQuantile and forecastRuns, the number of runs from which they count, are requirements of
	// docs/design/packing.md. The half is for the weight that the last runs have lost.
	forecastQuantile = 0.8
	forecastRuns     = 20 - 0.5
	// forecastHalfLife is the age at which a run counts half: the load of the workers and with it the
	// speed of runs changes by the hour.
	forecastHalfLife = clock.Hour
	// forecastAge is how long a forecast is used before it is computed again.
	forecastAge = clock.Second
	// forecastErrorWeight is the weight of the newest run in the averages of the errors, which cover
	// about fifty runs.
	forecastErrorWeight = 0.02
)

func newRunTimes() runTimes {
	e, err := estimator.New(estimator.WithMinEvidence(forecastRuns), estimator.WithHalfLife(forecastHalfLife))
	if err != nil {
		// Only options can be invalid, so this is a programming error.
		panic(errors.Wrap(err, "scheduler.newRunTimes"))
	}
	return runTimes{estimator: e, forecasts: map[string]cachedForecast{}}
}

// forecast returns how long a run of a task that ends by itself is expected to take on a worker.
func (s *Scheduler) forecast(t *task, w *worker) clock.Millis {
	step := t.spec()
	d := s.runTimes.forecast(t.job().spec.Queue.Name, s.now()).RunTime(step.Estimate)
	if d <= 0 {
		d = defaultRunTime
	}
	if step.Rack != "" && !w.hasLabel(step.Rack) {
		d = clock.Millis(s.remoteFactor * float64(d))
	}
	return d
}

func (r *runTimes) forecast(queue string, now clock.Millis) estimator.Forecast {
	c, ok := r.forecasts[queue]
	if !ok || now-c.at >= forecastAge {
		c = cachedForecast{forecast: r.estimator.Forecast(now, queue, forecastQuantile), at: now}
		r.forecasts[queue] = c
	}
	return c.forecast
}

// runEnd returns the forecast of the end of a task's newest run. One that has passed its forecast is
// expected to take another half of its elapsed time.
func (s *Scheduler) runEnd(t *task, now clock.Millis) clock.Millis {
	began := t.placedAt
	if t.confirmedAt != 0 {
		began = t.confirmedAt
	}
	if end := began + s.forecast(t, t.worker); end > now {
		return end
	}
	return now + max((now-began)/2, 1)
}

// learnRunTime records how long the newest run of a task took that has completed. The beginning of a
// run that a former leader has placed is not known.
func (s *Scheduler) learnRunTime(t *task) {
	if t.spec().LongRunning || t.inherited || t.confirmedAt == 0 || t.worker == nil {
		return
	}
	now, r := s.now(), &s.runTimes
	d, forecast := max(now-t.confirmedAt, 1), s.forecast(t, t.worker)
	late := 0.0
	if d > forecast {
		late = 1
	}
	r.ratio += forecastErrorWeight * (float64(d)/float64(forecast) - r.ratio)
	r.late += forecastErrorWeight * (late - r.late)
	declared := t.spec().Estimate
	if rack := t.spec().Rack; rack != "" && !t.worker.hasLabel(rack) {
		d = max(clock.Millis(float64(d)/s.remoteFactor), 1)
	}
	r.estimator.RanDeclared(now, t.job().spec.Queue.Name, declared, d)
}
