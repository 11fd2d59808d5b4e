package tracer

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRead(t *testing.T) {
	firstLog := `{"fields":{"event":"GE6010","host":"a","id":"aa"},"timestamp":"2026-01-01T00:00:10Z","message":"job accepted"}
{"fields":{"event":"GE6020","host":"a","task":"aa.0.0.0","worker":"w1","attempt":1},"timestamp":"2026-01-01T00:00:10.1Z","message":"run placed"}
{"fields":{"event":"GE6020","host":"a","task":"bb.0.0.0","worker":"w1","attempt":1},"timestamp":"2026-01-01T00:00:10.2Z","message":"run placed"}
not a line of ours
{"fields":{"event":"GE6030","host":"a","worker":"w1"},"timestamp":"2026-01-01T00:00:11Z","message":"worker does not answer"}
{"fields":{"event":"GE6030","host":"a","worker":"w2"},"timestamp":"2026-01-01T00:00:11Z","message":"worker does not answer"}
`
	secondLog := `12.5 collected {"fields":{"event":"GE6001","host":"b","epoch":2},"timestamp":"2026-01-01T00:00:14Z","message":"this daemon leads"}
{"fields":{"event":"GE6001","host":"b","epoch":9},"timestamp":"2026-01-01T01:00:00Z","message":"this daemon leads"}
`
	tests := map[string]struct {
		id   string
		want []string
	}{
		"own lines, events of its worker, election within the window": {id: "aa", want: []string{
			"+0.000 a GE6010 job accepted id=aa",
			"+0.100 a GE6020 run placed attempt=1 task=aa.0.0.0 worker=w1",
			"+1.000 a GE6030 worker does not answer worker=w1",
			"(nothing for 3s)",
			"+4.000 b GE6001 this daemon leads epoch=2",
		}},
		"unknown id": {id: "cc"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := Read(tc.id, strings.NewReader(firstLog), strings.NewReader(secondLog))
			must.NoError(t, err)
			var b bytes.Buffer
			must.NoError(t, Write(io.Writer(&b), lines))
			var got []string
			for l := range strings.Lines(b.String()) {
				got = append(got, strings.TrimSpace(l))
			}
			must.Eq(t, tc.want, got)
		})
	}
}
