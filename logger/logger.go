package logger

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/pkg/errors"
)

type (
	// Logger writes events as lines of JSON.
	Logger struct {
		log *log.Logger
		// baseFields are logged with every event.
		baseFields []Field
	}
)

// New returns a logger that writes events of at least the given level ("debug", "info",
// "warn" or "error") to w, with baseFields on every line. An unknown level is an error.
func New(w io.Writer, level string, baseFields ...Field) (*Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logger.New")
	}
	return &Logger{log: &log.Logger{Handler: json.New(w), Level: l}, baseFields: baseFields}, nil
}

// Emit logs an event with its fields, unless its level is below the logger's. A field
// replaces a base field of the same name.
func (l *Logger) Emit(e Event, fields ...Field) {
	if e.level < l.log.Level {
		return
	}
	f := log.Fields{"event": e.String()}
	for _, d := range l.baseFields {
		f[d.name] = d.value
	}
	for _, d := range fields {
		f[d.name] = d.value
	}
	entry := l.log.WithFields(f)
	switch e.level {
	case log.DebugLevel:
		entry.Debug(e.text)
	case log.WarnLevel:
		entry.Warn(e.text)
	case log.ErrorLevel:
		entry.Error(e.text)
	default:
		entry.Info(e.text)
	}
}
