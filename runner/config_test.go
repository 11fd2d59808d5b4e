package runner

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/logger"
	"galenawharf.example/galenawharf/platform"
)

// TestLogTenants guards against keys in the log, and against a line for each tenant whenever a host
// starts.
func TestLogTenants(t *testing.T) {
	decode := func(tenants string) *platform.Config {
		c, err := platform.DecodeConfig([]byte(`{"tenants":[` + tenants + `]}`))
		must.NoError(t, err)
		return c
	}
	const a, b = `{"name":"a","api_keys":["k1","k2"]}`, `{"name":"b","api_keys":["k3"]}`
	tests := map[string]struct {
		former, c *platform.Config
		want      []string
	}{
		"first configuration": {c: decode(a)},
		"no change":           {former: decode(a), c: decode(a)},
		"one replaced":        {former: decode(a), c: decode(b), want: []string{"GE6083[{tenant b} {keys 1}]", "GE6084[{tenant a} {keys 2}]"}},
		"all removed":         {former: decode(a), c: decode(""), want: []string{"GE6084[{tenant a} {keys 2}]"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var lines []string
			logTenants(func(e logger.Event, fs ...logger.Field) { lines = append(lines, e.String()+fmt.Sprint(fs)) }, tc.former, tc.c)
			must.Eq(t, tc.want, lines)
		})
	}
}
