package placer

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestToleratedSlowdown(t *testing.T) {
	tests := map[string]struct {
		use, min, max float64
	}{
		"no samples": {min: 0.5, max: 0.5},
		"idle":       {use: 0.3, min: 0.5, max: 0.5},
		"busy":       {use: 0.75, min: 0.19, max: 0.21},
		"saturated":  {use: 1.2, min: 0.05, max: 0.05},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			if tc.use > 0 {
				p.recordUtilization(0, tc.use)
			}
			must.Between(t, tc.min, p.toleratedSlowdown(0, 0.5), tc.max)
		})
	}
}
