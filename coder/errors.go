package coder

import "strings"

type (
	// Errors is a list of errors found in one document or operation.
	Errors []*Error
)

// Error returns the errors, one a line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, f := range e {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// WithRoot returns the list with the root "$" of every path replaced by path.
func (e Errors) WithRoot(path string) Errors {
	rooted := make(Errors, 0, len(e))
	for _, f := range e {
		rooted = append(rooted, At(f.code, path+strings.TrimPrefix(f.path, "$"), "%s", f.text))
	}
	return rooted
}
