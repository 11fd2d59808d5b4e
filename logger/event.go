// Package logger writes numbered log events as lines of JSON. docs/EVENTS.md lists the
// meaning of each event and what an operator should do about it.
package logger

import (
	"fmt"

	"github.com/apex/log"
)

type (
	// Event is a numbered kind of log line, with a fixed level and text.
	Event struct {
		number int
		level  log.Level
		text   string
	}

	// Field is a key and a value that are logged with an event.
	Field struct {
		name  string
		value any
	}
)

// Number returns the event's number. Numbers of removed events are never reused.
func (e Event) Number() int { return e.number }

// Text returns the message that is logged for the event.
func (e Event) Text() string { return e.text }

// String returns the number as it appears in the log, such as "GE1001".
func (e Event) String() string { return fmt.Sprintf("GE%04d", e.number) }

// String returns a field with a string value.
func String(name, value string) Field { return Field{name: name, value: value} }

// Text returns a field with value formatted by fmt.Sprint.
func Text(name string, value any) Field { return Field{name: name, value: fmt.Sprint(value)} }

// Int returns a field with an integer value.
func Int(name string, value int64) Field { return Field{name: name, value: value} }

// Err returns the field "error" with the message of err, empty if err is nil.
func Err(err error) Field {
	if err == nil {
		return Field{name: "error", value: ""}
	}
	return Field{name: "error", value: err.Error()}
}
