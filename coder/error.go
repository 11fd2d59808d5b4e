package coder

import "fmt"

type (
	// Error is a failure with its code, the JSON path it is about (empty
	// where there is none) and a text that says what to do.
	Error struct {
		code Code
		path string
		text string
	}
)

// New gives an error of code c.
func New(c Code, format string, args ...any) *Error {
	return &Error{code: c, text: fmt.Sprintf(format, args...)}
}

// At gives an error of code c about the value at a JSON path.
func At(c Code, path, format string, args ...any) *Error {
	return &Error{code: c, path: path, text: fmt.Sprintf(format, args...)}
}

// Code gives the numbered result.
func (e *Error) Code() Code { return e.code }

// Path gives the JSON path of the value at fault, or "".
func (e *Error) Path() string { return e.path }

// Text gives the reason without code and path.
func (e *Error) Text() string { return e.text }

// Error gives code, path and text in one line.
func (e *Error) Error() string {
	if e.path == "" {
		return fmt.Sprintf("%s: %s", e.code, e.text)
	}
	return fmt.Sprintf("%s: %s: %s", e.code, e.path, e.text)
}
