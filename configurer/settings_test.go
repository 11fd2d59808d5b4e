package configurer

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

const validSettings = `{"name":"entry-1","data-centre":"a",
 "listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2","status":"127.0.0.1:3"},
 "peers":[{"name":"entry-2","data-centre":"a","address":"127.0.0.1:4"},{"name":"entry-3","data-centre":"b","address":"127.0.0.1:5"}],
 "platform":{"log":"127.0.0.1:6","hosts":"127.0.0.1:6"}}`

func TestParseFillsDefaults(t *testing.T) {
	s, errs := Parse([]byte(validSettings))
	must.Len(t, 0, errs)
	must.Eq(t, 6*clock.Second, s.Timing.Claim)
	must.Eq(t, []string{"entry-1", "entry-2"}, s.Claimants())
}

func TestParseReportsEveryError(t *testing.T) {
	tests := map[string]struct {
		doc  string
		want map[string]coder.Code
	}{
		"empty": {doc: `{}`, want: map[string]coder.Code{
			"$.name": coder.Missing, "$.data-centre": coder.Missing, "$.listen.callers": coder.Missing, "$.listen.peers": coder.Missing,
			"$.listen.status": coder.Missing, "$.platform.log": coder.Missing, "$.platform.hosts": coder.Missing,
		}},
		// The body limit of 1 KiB is less than the default payload limit, 256 KiB, so it is
		// the payload that is out of range although the document doesn't set it.
		"several": {doc: `{"name":"entry-1","data-centre":"a","cluster":1,"log-level":"loud",
			"listen":{"callers":"localhost:1","peers":"127.0.0.1:2","status":"127.0.0.1:2"},
			"peers":[{"name":"entry-1","data-centre":"a","address":"127.0.0.1:99999"}],
			"platform":{"log":"127.0.0.1:6","hosts":"127.0.0.1:6"},
			"limits":{"body":"1KiB","checks":-1},
			"timing":{"claim":"100ms","tick":"5"}}`, want: map[string]coder.Code{
			"$.cluster": coder.UnknownField, "$.log-level": coder.BadFormat, "$.listen.callers": coder.BadFormat, "$.listen.status": coder.Duplicate,
			"$.peers[0].name": coder.Duplicate, "$.peers[0].address": coder.BadFormat, "$.limits.payload": coder.OutOfRange,
			"$.limits.checks": coder.OutOfRange, "$.timing.claim": coder.OutOfRange, "$.timing.tick": coder.BadFormat,
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, errs := Parse([]byte(tc.doc))
			got := map[string]coder.Code{}
			for _, e := range errs {
				got[e.Path()] = e.Code()
			}
			must.Eq(t, tc.want, got)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, errs := Parse(data)
		for _, e := range errs {
			must.NotEq(t, "", e.Path())
		}
	})
}
