package decoder

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type sample struct {
	Name  string            `json:"name"`
	Count int32             `json:"count"`
	Wait  clock.Millis      `json:"wait"`
	Size  sizer.Document    `json:"size"`
	Inner *sample           `json:"inner"`
	List  []sample          `json:"list"`
	Names map[string]string `json:"names"`
}

func TestUnmarshal(t *testing.T) {
	tests := map[string]struct {
		doc  string
		want []string
	}{
		"valid":         {doc: `{"name":"a","count":1,"wait":"1.5s","size":{"processors":2.5,"memory":"4GiB"},"inner":{"name":"b"},"list":[{}],"names":{"a":"b"}}`},
		"truncated":     {doc: `{"name":`, want: []string{"GW1001: $: "}},
		"two documents": {doc: `{} {}`, want: []string{"GW1001: $: more than one"}},
		"several errors": {
			doc:  `{"nam":"a","count":"x","list":[{},{"count":1.5}],"name":null}`,
			want: []string{"GW1002: $.nam: ", "GW1001: $.count: must be a whole", "GW1004: $.list[1].count: ", "GW1001: $.name: must not be null"},
		},
		"duplicate":         {doc: `{"name":"a","name":"b"}`, want: []string{"GW1005: $.name: "}},
		"overflow":          {doc: `{"count":99999999999}`, want: []string{"GW1004: $.count: "}},
		"wrong unit":        {doc: `{"wait":"5 parsecs"}`, want: []string{"GW1007: $.wait: "}},
		"missing unit":      {doc: `{"wait":5}`, want: []string{"GW1001: $.wait: "}},
		"memory unit":       {doc: `{"size":{"memory":"4 elephants"}}`, want: []string{"GW1007: $.size.memory: "}},
		"memory too big":    {doc: `{"size":{"memory":"99999999999TiB"}}`, want: []string{"GW1004: $.size.memory: "}},
		"negative":          {doc: `{"size":{"processors":-1}}`, want: []string{"GW1004: $.size.processors: "}},
		"below a millicore": {doc: `{"size":{"processors":0.00001}}`, want: []string{"GW1004: $.size.processors: "}},
		"unknown size key":  {doc: `{"size":{"cpus":1}}`, want: []string{"GW1002: $.size.cpus: "}},
		"too deep":          {doc: strings.Repeat(`{"inner":`, 40) + "{}" + strings.Repeat("}", 40), want: []string{"GW1001: $: "}},
		"list for string":   {doc: `{"name":[]}`, want: []string{"GW1001: $.name: must be a string, not a list"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s sample
			faults := Unmarshal([]byte(tc.doc), &s)
			must.Len(t, len(tc.want), faults)
			for i, w := range tc.want {
				must.StrHasPrefix(t, w, faults[i].Error())
			}
		})
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"name":"a","list":[{"count":1}],"size":{"memory":"1KiB"}}`))
	f.Add([]byte(`{"inner":{"inner":null},"names":{"":""}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		for _, e := range Unmarshal(data, &s) {
			must.NotEq(t, "", e.Path())
			must.NotEq(t, 0, int(e.Code()))
		}
	})
}
