// Package logger writes numbered log events. docs/EVENTS.md lists each with
// its meaning and what to do.
package logger

import (
	"fmt"

	"github.com/apex/log"
)

type (
	// Event is a numbered kind of log line.
	Event struct {
		number int
		level  log.Level
		text   string
	}

	// Field is a detail of a log line.
	Field struct {
		name  string
		value any
	}
)

// Number gives the event's number, which is never reused.
func (e Event) Number() int { return e.number }

// Text gives the event in words.
func (e Event) Text() string { return e.text }

// String gives the number as it is shown to people, such as "GE1001".
func (e Event) String() string { return fmt.Sprintf("GE%04d", e.number) }

// String gives a detail that is a text.
func String(name, value string) Field { return Field{name: name, value: value} }

// Text gives a detail of any kind, written as text.
func Text(name string, value any) Field { return Field{name: name, value: fmt.Sprint(value)} }

// Int gives a detail that is a whole number.
func Int(name string, value int64) Field { return Field{name: name, value: value} }

// Err gives an error as a detail; nil is shown as empty.
func Err(err error) Field {
	if err == nil {
		return Field{name: "error", value: ""}
	}
	return Field{name: "error", value: err.Error()}
}
