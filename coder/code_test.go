package coder

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func TestOf(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Code
	}{
		"nil":       {want: OK},
		"plain":     {err: errors.New("x"), want: Internal},
		"coded":     {err: New(LogDown, "x"), want: LogDown},
		"wrapped":   {err: errors.Wrap(New(LogDown, "x"), "f"), want: LogDown},
		"list":      {err: errors.Wrap(Errors{At(Missing, "$.a", "x"), New(LogDown, "y")}.Err(), "f"), want: Missing},
		"no errors": {err: Errors{}.Err(), want: OK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, Of(tc.err))
		})
	}
}
