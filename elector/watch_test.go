package elector

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

func TestWatch(t *testing.T) {
	other := Claim{Epoch: 4, Host: "other", Life: "x", Renewal: 1}
	renewed := other
	renewed.Renewal = 2
	resigned := other
	resigned.Resigned = true
	tests := map[string]struct {
		play func(w *Watch)
		now  clock.Millis
		due  bool
		over bool
	}{
		"nothing read":                {play: func(*Watch) {}, now: 9000, over: true},
		"nobody leads":                {play: func(w *Watch) { w.Observe(Claim{}, 0) }, due: true, over: true},
		"fresh claim":                 {play: func(w *Watch) { w.Observe(other, 0) }, now: patience - 1},
		"claim not renewed":           {play: func(w *Watch) { w.Observe(other, 0) }, now: patience, due: true},
		"renewed":                     {play: func(w *Watch) { w.Observe(other, 0); w.Observe(renewed, 1000) }, now: patience},
		"seen again, not renewed":     {play: func(w *Watch) { w.Observe(other, 0); w.Observe(other, 1000) }, now: patience, due: true},
		"resigned":                    {play: func(w *Watch) { w.Observe(resigned, 0) }, due: true, over: true},
		"earlier process of the host": {play: func(w *Watch) { w.Observe(Claim{Epoch: 4, Host: "me", Life: "before"}, 0) }, due: true, over: true},
		"own claim, not renewed":      {play: func(w *Watch) { w.Observe(Claim{Epoch: 4, Host: "me", Life: "now"}, 0) }, now: patience, due: true},
		"store away":                  {play: func(w *Watch) { w.Observe(other, 0); w.Failed() }, now: 9000},
		"store just back":             {play: func(w *Watch) { w.Observe(other, 0); w.Failed(); w.Read(8000) }, now: 8000 + patience - 1},
		"store back for long":         {play: func(w *Watch) { w.Observe(other, 0); w.Failed(); w.Read(8000) }, now: 8000 + patience, due: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWatch("me", "now", patience)
			tc.play(w)
			must.Eq(t, tc.due, w.Due(tc.now))
			must.Eq(t, tc.over, w.FormerIsOver())
		})
	}
}
