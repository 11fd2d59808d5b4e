package rescuer_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/rescuer"
)

func TestDue(t *testing.T) {
	const d = rescuer.MaxIdle
	tests := map[string]struct {
		idle             []clock.Millis
		rescued, workers int
		want             []int
	}{
		"none":                      {want: []int{}},
		"shorter than the limit":    {idle: []clock.Millis{0, d - 1}, workers: 100, want: []int{}},
		"at the limit":              {idle: []clock.Millis{d - 1, d}, workers: 100, want: []int{1}},
		"longest first":             {idle: []clock.Millis{d + 1, d, d + 3, 0}, workers: 100, want: []int{2, 0, 1}},
		"equal ones in their order": {idle: []clock.Millis{d, d, d}, workers: 100, want: []int{0, 1, 2}},
		"one of few workers":        {idle: []clock.Millis{d, d + 1}, workers: 3, want: []int{1}},
		"share of the workers":      {idle: []clock.Millis{d, d + 1, d + 2}, workers: 50, rescued: 3, want: []int{2, 1}},
		"share is used":             {idle: []clock.Millis{d}, workers: 50, rescued: 5, want: []int{}},
		"fewer workers than before": {idle: []clock.Millis{d}, workers: 10, rescued: 5, want: []int{}},
		"no more than MaxStarts":    {idle: []clock.Millis{d, d + 5, d + 1, d + 2, d + 3, d + 4}, workers: 100, want: []int{1, 5, 4, 3}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, rescuer.Due(tc.idle, tc.rescued, tc.workers)) })
	}
}

func TestDueLasting(t *testing.T) {
	const d = rescuer.MaxLastingWait
	tests := map[string]struct {
		waits []clock.Millis
		want  []int
	}{
		"none":                   {want: []int{}},
		"shorter than the limit": {waits: []clock.Millis{0, d - 1}, want: []int{}},
		"longest first":          {waits: []clock.Millis{d + 1, d, d + 3, 0}, want: []int{2, 0, 1}},
		"more than MaxStarts":    {waits: []clock.Millis{d, d + 5, d + 1, d + 2, d + 3, d + 4}, want: []int{1, 5, 4, 3, 2, 0}},
		"far below MaxIdle":      {waits: []clock.Millis{rescuer.MaxIdle / 4}, want: []int{0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, rescuer.DueLasting(tc.waits)) })
	}
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		offers []rescuer.Offer
		want   int
	}{
		"none":                               {want: -1},
		"least interference":                 {offers: []rescuer.Offer{{Interference: 3}, {Interference: 1}, {Interference: 2}}, want: 1},
		"any interference":                   {offers: []rescuer.Offer{{Interference: 100}}, want: 0},
		"not beside a violated objective":    {offers: []rescuer.Offer{{Violated: true}, {Interference: 9}}, want: 1},
		"not where one has been rescued":     {offers: []rescuer.Offer{{Rescued: rescuer.MaxPerWorker}, {Interference: 9}}, want: 1},
		"waits if there is nothing suitable": {offers: []rescuer.Offer{{Rescued: 1}, {Violated: true}}, want: -1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, rescuer.Choose(tc.offers)) })
	}
}
