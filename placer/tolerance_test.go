package placer

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestBears(t *testing.T) {
	tests := map[string]struct {
		use, min, max float64
	}{
		"nothing seen": {min: 0.5, max: 0.5},
		"idle":         {use: 0.3, min: 0.5, max: 0.5},
		"busy":         {use: 0.75, min: 0.19, max: 0.21},
		"full":         {use: 1.2, min: 0.05, max: 0.05},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			if tc.use > 0 {
				p.noteUse(0, tc.use)
			}
			must.Between(t, tc.min, p.bears(0, 0.5), tc.max)
		})
	}
}
