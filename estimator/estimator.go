// Package estimator learns how large the tasks of each job family are and how
// long they run, since what is declared is often far off.
package estimator

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Estimator keeps decaying histograms per family. It is used by one
	// goroutine.
	Estimator struct {
		families    map[string]*family
		halfLife    clock.Millis
		begun       clock.Millis
		enough      float64
		maxFamilies int
	}

	// Option sets up an Estimator.
	Option func(*Estimator)

	family struct {
		millicores histogram
		memory     histogram
		runTime    histogram
		seen       clock.Millis
	}
)

const (
	defaultHalfLife    = 12 * clock.Hour
	defaultEnough      = 4
	defaultMaxFamilies = 20_000

	processorQuantile = 0.9
	memoryQuantile    = 0.99
	runTimeQuantile   = 0.9
	memoryMargin      = 1.15
	overrunFactor     = 1.5
	overrunWeight     = 4
)

// New gives an Estimator that has seen nothing.
func New(opts ...Option) (*Estimator, error) {
	e := &Estimator{families: map[string]*family{}, halfLife: defaultHalfLife, enough: defaultEnough, maxFamilies: defaultMaxFamilies}
	for _, o := range opts {
		o(e)
	}
	if e.halfLife < 1 || e.enough <= 0 || e.maxFamilies < 1 {
		return nil, errors.New("estimator.New: the half-life, the evidence and the number of families must be positive")
	}
	return e, nil
}

// WithHalfLife sets the age at which an observation counts half.
func WithHalfLife(d clock.Millis) Option { return func(e *Estimator) { e.halfLife = d } }

// WithEnough sets the weight of observations from which on they replace what
// is declared.
func WithEnough(weight float64) Option { return func(e *Estimator) { e.enough = weight } }

// WithMaxFamilies sets how many families are kept; the one not seen for
// longest makes room.
func WithMaxFamilies(n int) Option { return func(e *Estimator) { e.maxFamilies = n } }

// Used records the means of processors in thousandths of a core and memory in
// bytes over a span of one task of a family.
func (e *Estimator) Used(now clock.Millis, name string, millicores, memory int64) {
	f := e.family(now, name)
	f.millicores.add(e.weight(now), millicores)
	f.memory.add(e.weight(now), memory)
}

// RanOutOfMemory records that a task needed more memory than the bytes it held.
func (e *Estimator) RanOutOfMemory(now clock.Millis, name string, memory int64) {
	f := e.family(now, name)
	f.memory.add(overrunWeight*e.weight(now), int64(float64(memory)*overrunFactor))
}

// Ran records how long a task took from its beginning to its success.
func (e *Estimator) Ran(now clock.Millis, name string, d clock.Millis) {
	e.family(now, name).runTime.add(e.weight(now), int64(d))
}

// RanAtLeast records a task that was stopped before its end. It counts only
// where it ran longer than expected.
func (e *Estimator) RanAtLeast(now clock.Millis, name string, d clock.Millis) {
	if d > e.RunTime(now, name, 0) {
		e.Ran(now, name, d)
	}
}

// Size gives what a task of a family is to be granted: what is declared until
// enough was seen. Accelerators are always as declared.
func (e *Estimator) Size(now clock.Millis, name string, declared sizer.Size) sizer.Size {
	f := e.families[name]
	if f == nil {
		return declared
	}
	need := e.enough * e.weight(now)
	millicores, memory := declared.Millicores(), declared.MemoryBytes()
	if f.millicores.weight >= need {
		millicores = f.millicores.quantile(processorQuantile)
	}
	if f.memory.weight >= need {
		memory = int64(float64(f.memory.quantile(memoryQuantile)) * memoryMargin)
	}
	return sizer.New(max(millicores, 1), max(memory, 1), declared.Accelerators())
}

// RunTime gives how long a task of a family takes at most, nine times of ten;
// what is declared until enough was seen.
func (e *Estimator) RunTime(now clock.Millis, name string, declared clock.Millis) clock.Millis {
	return e.RunTimeQuantile(now, name, declared, runTimeQuantile)
}

// RunTimeQuantile gives the run time that a share q of the tasks of a family
// stays under; what is declared until enough was seen.
func (e *Estimator) RunTimeQuantile(now clock.Millis, name string, declared clock.Millis, q float64) clock.Millis {
	f := e.families[name]
	if f == nil || f.runTime.weight < e.enough*e.weight(now) {
		return declared
	}
	return clock.Millis(f.runTime.quantile(q))
}

// Len gives the number of families that are kept.
func (e *Estimator) Len() int { return len(e.families) }

func (e *Estimator) family(now clock.Millis, name string) *family {
	f := e.families[name]
	if f == nil {
		e.makeRoom()
		f = &family{}
		e.families[name] = f
	}
	f.seen = max(f.seen, now)
	return f
}

func (e *Estimator) makeRoom() {
	if len(e.families) < e.maxFamilies {
		return
	}
	oldest, at := "", clock.Never
	for name, f := range e.families {
		if f.seen < at || f.seen == at && name < oldest {
			oldest, at = name, f.seen
		}
	}
	delete(e.families, oldest)
}
