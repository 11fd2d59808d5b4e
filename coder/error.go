package coder

import "fmt"

type (
	// Error is an error with a code, a JSON path (empty if it is not about a value in
	// a document) and a text for people.
	Error struct {
		code Code
		path string
		text string
	}
)

// New returns an error of code c without a path.
func New(c Code, format string, args ...any) *Error {
	return &Error{code: c, text: fmt.Sprintf(format, args...)}
}

// At returns an error of code c about the value at a JSON path.
func At(c Code, path, format string, args ...any) *Error {
	return &Error{code: c, path: path, text: fmt.Sprintf(format, args...)}
}

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Path returns the JSON path of the invalid value, or "".
func (e *Error) Path() string { return e.path }

// Text returns the text without code and path.
func (e *Error) Text() string { return e.text }

// Error returns code, path and text on one line.
func (e *Error) Error() string {
	if e.path == "" {
		return fmt.Sprintf("%s: %s", e.code, e.text)
	}
	return fmt.Sprintf("%s: %s: %s", e.code, e.path, e.text)
}
