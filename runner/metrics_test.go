package runner

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/measurer"
	"galenawharf.example/galenawharf/scheduler"
	"galenawharf.example/galenawharf/sizer"
)

// TestTenantsOf guards against a division by a cap of 0, which means no limit.
func TestTenantsOf(t *testing.T) {
	tests := map[string]struct {
		held, limit sizer.Size
		want        float64
	}{
		"idle":           {limit: sizer.New(4000, 0, 0)},
		"half":           {held: sizer.New(2000, 100, 0), limit: sizer.New(4000, 0, 0), want: 0.5},
		"over":           {held: sizer.New(6000, 100, 0), limit: sizer.New(4000, 0, 0), want: 1.5},
		"no cap":         {held: sizer.New(6000, 100, 0)},
		"cap of memory":  {held: sizer.New(6000, 100, 0), limit: sizer.New(0, 200, 0)},
		"nothing at all": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := tenantsOf([]scheduler.TenantState{{Name: "a", Held: tt.held, Cap: tt.limit, Share: 1.25, Waiting: 3}})
			must.Eq(t, []measurer.Tenant{{Name: "a", Running: tt.want, Share: 1.25, Waiting: 3}}, got)
		})
	}
}
