package declarer

import (
	"fmt"
	"regexp"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Validator collects the errors in one document. Paths in errors begin with the
	// JSON path of the document.
	Validator struct {
		path   string
		faults *coder.Errors
	}
)

const (
	// Limits of a declared amount of each resource, so that sums over a deployment
	// can't overflow. Memory is in bytes.
	maxMillicores   = 1_000_000_000
	maxMemory       = 1 << 50
	maxAccelerators = 1_000_000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,126}$`)
)

// NewValidator returns a validator for the document at a JSON path.
func NewValidator(path string) *Validator {
	return &Validator{path: path, faults: &coder.Errors{}}
}

// Faults returns the errors found so far.
func (v *Validator) Faults() coder.Errors { return *v.faults }

// Add adds an error at a path relative to the document's.
func (v *Validator) Add(c coder.Code, path, format string, args ...any) {
	*v.faults = append(*v.faults, coder.At(c, v.path+"."+path, format, args...))
}

// element returns a validator for an element of the list at path, which adds its errors
// to those of v.
func (v *Validator) element(path string, index int) *Validator {
	return &Validator{path: fmt.Sprintf("%s.%s[%d]", v.path, path, index), faults: v.faults}
}

func (v *Validator) missing(path string) { v.Add(coder.Missing, path, "must be given") }

func (v *Validator) badFormat(path, format string, args ...any) {
	v.Add(coder.BadFormat, path, format, args...)
}

func (v *Validator) name(path, name string) {
	if name == "" {
		v.missing(path)
		return
	}
	if !namePattern.MatchString(name) {
		v.badFormat(path, "%q is not a name of at most 127 lower-case letters, digits, dots, dashes and underscores", name)
	}
}

func (v *Validator) atLeast(path string, n, low int64) {
	if n < low {
		v.Add(coder.OutOfRange, path, "%d is below %d", n, low)
	}
}

func (v *Validator) between(path string, n, low, high int64) {
	if n < low || n > high {
		v.Add(coder.OutOfRange, path, "%d is not between %d and %d", n, low, high)
	}
}

func (v *Validator) size(path string, d sizer.Document) {
	v.between(path+".processors", int64(d.Processors), 0, maxMillicores)
	v.between(path+".memory", int64(d.Memory), 0, maxMemory)
	v.between(path+".accelerators", d.Accelerators, 0, maxAccelerators)
}

// taskSize checks the size of one task, which needs some processors and memory.
func (v *Validator) taskSize(path string, d sizer.Document) {
	v.size(path, d)
	if d.Processors == 0 {
		v.missing(path + ".processors")
	}
	if d.Memory == 0 {
		v.missing(path + ".memory")
	}
}
