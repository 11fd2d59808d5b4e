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
		// base is on every line.
		base []Field
	}
)

// New gives a logger that writes events of at least a level ("debug", "info",
// "warn" or "error") to w; the fields are on every line.
func New(w io.Writer, level string, base ...Field) (*Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logger.New")
	}
	return &Logger{log: &log.Logger{Handler: json.New(w), Level: l}, base: base}, nil
}

// Emit writes one event with its details.
func (l *Logger) Emit(e Event, fields ...Field) {
	if e.level < l.log.Level {
		return
	}
	f := log.Fields{"event": e.String()}
	for _, d := range l.base {
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
