package coder

import "strings"

type (
	// Errors is a list of faults that were found together.
	Errors []*Error
)

// Error gives every fault, one a line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, f := range e {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err gives the list as an error, or nil if it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// WithRoot gives the list with the root "$" of every path replaced by path.
func (e Errors) WithRoot(path string) Errors {
	moved := make(Errors, 0, len(e))
	for _, f := range e {
		moved = append(moved, At(f.code, path+strings.TrimPrefix(f.path, "$"), "%s", f.text))
	}
	return moved
}
