// Package estimator learns the sizes and run times of tasks, because the declared values are
// often far off. It keeps one record per family: the tasks of all submissions of one job, or
// of one service.
package estimator

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Estimator keeps histograms with exponential decay for each family. It is not safe
	// for concurrent use.
	Estimator struct {
		families map[string]*family
		halfLife clock.Millis
		// weightReference is the time at which a new observation has weight 1.
		weightReference clock.Millis
		minEvidence     float64
		maxFamilies     int
	}

	// Option configures an Estimator.
	Option func(*Estimator)

	family struct {
		millicores histogram
		memory     histogram
		runTime    histogram
		// ratio has those of actual to declared run times, in thousandths.
		ratio    histogram
		lastSeen clock.Millis
	}
)

const (
	defaultHalfLife    = 12 * clock.Hour
	defaultMinEvidence = 4
	defaultMaxFamilies = 20_000

	processorQuantile = 0.9
	memoryQuantile    = 0.99
	runTimeQuantile   = 0.9
	// memoryMargin is the factor by which the memory granted exceeds its quantile.
	memoryMargin = 1.15
	// overrunMargin is the factor by which the memory that a task needs is assumed to exceed
	// its usage when it ran out of memory.
	overrunMargin = 1.5
	// overrunWeight is the number of usage samples as which an out-of-memory failure counts.
	overrunWeight = 4
)

// New returns an Estimator without observations.
func New(opts ...Option) (*Estimator, error) {
	e := &Estimator{families: map[string]*family{}, halfLife: defaultHalfLife, minEvidence: defaultMinEvidence, maxFamilies: defaultMaxFamilies}
	for _, o := range opts {
		o(e)
	}
	if e.halfLife < 1 || e.minEvidence <= 0 || e.maxFamilies < 1 {
		return nil, errors.New("estimator.New: the half-life, the minimum evidence and the number of families must be positive")
	}
	return e, nil
}

// WithHalfLife sets the age at which the weight of an observation has halved.
func WithHalfLife(d clock.Millis) Option { return func(e *Estimator) { e.halfLife = d } }

// WithMinEvidence sets the total weight of observations that is needed to use them instead
// of the declaration. A new observation has weight 1 and loses weight as it ages.
func WithMinEvidence(weight float64) Option { return func(e *Estimator) { e.minEvidence = weight } }

// WithMaxFamilies sets how many families are kept. A new family replaces the one with the
// oldest observation.
func WithMaxFamilies(n int) Option { return func(e *Estimator) { e.maxFamilies = n } }

// Used records the mean usage of one task over a span, memory in bytes.
func (e *Estimator) Used(now clock.Millis, name string, millicores, memory int64) {
	f := e.familyOf(now, name)
	f.millicores.add(e.weight(now), millicores)
	f.memory.add(e.weight(now), memory)
}

// RanOutOfMemory records that a task used more memory than its grant. memory is its
// highest usage in bytes.
func (e *Estimator) RanOutOfMemory(now clock.Millis, name string, memory int64) {
	f := e.familyOf(now, name)
	f.memory.add(overrunWeight*e.weight(now), int64(float64(memory)*overrunMargin))
}

// Ran records the run time of a task from its first start to its success.
func (e *Estimator) Ran(now clock.Millis, name string, d clock.Millis) {
	e.familyOf(now, name).runTime.add(e.weight(now), int64(d))
}

// RanAtLeast records the run time of a task that was stopped before its end. It is only a
// lower bound, so it is ignored unless it exceeds the expected run time.
func (e *Estimator) RanAtLeast(now clock.Millis, name string, d clock.Millis) {
	if d > e.RunTime(now, name, 0) {
		e.Ran(now, name, d)
	}
}

// Size returns the size to grant to a task of a family. Processors and memory are as
// declared if there are too few observations, accelerators always.
func (e *Estimator) Size(now clock.Millis, name string, declared sizer.Size) sizer.Size {
	f := e.families[name]
	if f == nil {
		return declared
	}
	minWeight := e.minEvidence * e.weight(now)
	millicores, memory := declared.Millicores(), declared.MemoryBytes()
	if f.millicores.weight >= minWeight {
		millicores = f.millicores.quantile(processorQuantile)
	}
	if f.memory.weight >= minWeight {
		memory = int64(float64(f.memory.quantile(memoryQuantile)) * memoryMargin)
	}
	return sizer.New(max(millicores, 1), max(memory, 1), declared.Accelerators())
}

// RunTime returns the 0.9 quantile of the run times of a family, or the declared run time
// without enough observations.
func (e *Estimator) RunTime(now clock.Millis, name string, declared clock.Millis) clock.Millis {
	return e.RunTimeQuantile(now, name, declared, runTimeQuantile)
}

// RunTimeQuantile returns the quantile q of the run times of a family, or the declared
// run time without enough observations.
func (e *Estimator) RunTimeQuantile(now clock.Millis, name string, declared clock.Millis, q float64) clock.Millis {
	f := e.families[name]
	if f == nil || f.runTime.weight < e.minEvidence*e.weight(now) {
		return declared
	}
	return clock.Millis(f.runTime.quantile(q))
}

// Len returns the number of families.
func (e *Estimator) Len() int { return len(e.families) }

func (e *Estimator) familyOf(now clock.Millis, name string) *family {
	f := e.families[name]
	if f == nil {
		e.evictOldest()
		f = &family{}
		e.families[name] = f
	}
	f.lastSeen = max(f.lastSeen, now)
	return f
}

func (e *Estimator) evictOldest() {
	if len(e.families) < e.maxFamilies {
		return
	}
	oldest, at := "", clock.Never
	for name, f := range e.families {
		if f.lastSeen < at || f.lastSeen == at && name < oldest {
			oldest, at = name, f.lastSeen
		}
	}
	delete(e.families, oldest)
}
