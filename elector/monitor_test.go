package elector

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
)

// TestMonitor checks when a claim is due: a daemon that claims too early deposes a
// working leader, for example after an outage in which nobody could renew.
func TestMonitor(t *testing.T) {
	other := Claim{Epoch: 4, Host: "other", Instance: "x", Renewal: 1}
	renewed := other
	renewed.Renewal = 2
	resigned := other
	resigned.Resigned = true
	tests := map[string]struct {
		setup   func(w *Monitor)
		now     clock.Millis
		due     bool
		stopped bool
	}{
		"no read yet":                      {setup: func(*Monitor) {}, now: 9000, stopped: true},
		"no claim":                         {setup: func(w *Monitor) { w.Observe(Claim{}, 0) }, due: true, stopped: true},
		"new claim":                        {setup: func(w *Monitor) { w.Observe(other, 0) }, now: claimTimeout - 1},
		"claim expired":                    {setup: func(w *Monitor) { w.Observe(other, 0) }, now: claimTimeout, due: true},
		"claim renewed":                    {setup: func(w *Monitor) { w.Observe(other, 0); w.Observe(renewed, 1000) }, now: claimTimeout},
		"read again, not renewed":          {setup: func(w *Monitor) { w.Observe(other, 0); w.Observe(other, 1000) }, now: claimTimeout, due: true},
		"resigned":                         {setup: func(w *Monitor) { w.Observe(resigned, 0) }, due: true, stopped: true},
		"earlier process of the host":      {setup: func(w *Monitor) { w.Observe(Claim{Epoch: 4, Host: "me", Address: "here", Instance: "before"}, 0) }, due: true, stopped: true},
		"replaced host of the same name":   {setup: func(w *Monitor) { w.Observe(Claim{Epoch: 4, Host: "me", Address: "there", Instance: "before"}, 0) }, now: claimTimeout - 1},
		"own claim expired":                {setup: func(w *Monitor) { w.Observe(Claim{Epoch: 4, Host: "me", Address: "here", Instance: "now"}, 0) }, now: claimTimeout, due: true},
		"store unavailable":                {setup: func(w *Monitor) { w.Observe(other, 0); w.ReadFailed() }, now: 9000},
		"store available again":            {setup: func(w *Monitor) { w.Observe(other, 0); w.ReadFailed(); w.ReadSucceeded(8000) }, now: 8000 + claimTimeout - 1},
		"expired after the store's outage": {setup: func(w *Monitor) { w.Observe(other, 0); w.ReadFailed(); w.ReadSucceeded(8000) }, now: 8000 + claimTimeout, due: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewMonitor("me", "here", "now", claimTimeout)
			tc.setup(w)
			must.Eq(t, tc.due, w.Due(tc.now))
			must.Eq(t, tc.stopped, w.PredecessorStopped())
		})
	}
}
