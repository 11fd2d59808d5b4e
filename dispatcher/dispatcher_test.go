package dispatcher

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

func TestCheckCodes(t *testing.T) {
	tests := map[string]struct {
		faults imitator.ExecutorFaults
		want   coder.Code
	}{
		"answered": {},
		"not run":  {faults: imitator.ExecutorFaults{Down: true}, want: coder.NotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := imitator.NewExecutor(8, func(context.Context, clock.Millis) error { return nil }, func(provider.Request) clock.Millis { return 1 })
			e.SetFaults(tc.faults)
			d, err := New(WithExecutors(imitator.ExecutorsOf(func(string) *imitator.Executor { return e })), WithName("e1"))
			must.NoError(t, err)
			d.SetView(NewView([]provider.Host{{Name: "x", Address: "x", Service: "s", Slots: 8, Connections: 64}}, nil, nil, nil))
			a := d.Check(t.Context(), &schema.CheckRequest{RequestId: "1", Team: "t", Service: "s", Payload: []byte("p"), TimeoutMillis: 1000})
			must.Eq(t, tc.want, coder.Code(a.GetResultCode()))
			must.NoError(t, d.Close(t.Context()))
		})
	}
}
