package authenticator_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/authenticator"
)

// TestTenant guards against keys that are accepted though no tenant, or more than one, has them.
func TestTenant(t *testing.T) {
	longest := strings.Repeat("k", authenticator.MaxKeyBytes)
	a := authenticator.New(map[string][]string{
		"a": {"one", "one", "both", "", longest, longest + "k"},
		"b": {"two", "both"},
		"c": nil,
	})
	tests := map[string]struct {
		key, tenant string
		known       bool
	}{
		"key of the first tenant":  {key: "one", tenant: "a", known: true},
		"key of the second tenant": {key: "two", tenant: "b", known: true},
		"longest key":              {key: longest, tenant: "a", known: true},
		"key that is too long":     {key: longest + "k"},
		"key of two tenants":       {key: "both"},
		"no key, one is listed":    {key: ""},
		"never configured":         {key: "three"},
		"prefix of a key":          {key: "on"},
		"key with a space":         {key: "one "},
		"digest of a key":          {key: "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, _ := authenticator.DigestOf(tc.key)
			tenant, ok := a.Tenant(d)
			must.Eq(t, tc.known, ok)
			must.Eq(t, tc.tenant, tenant)
		})
	}
	must.Eq(t, []int{2, 1, 0}, []int{a.Keys("a"), a.Keys("b"), a.Keys("c")})
}

// TestDigestText guards against a digest that is not the same at the leader as at the host that
// received the key, and against more than 8 digits in the log.
func TestDigestText(t *testing.T) {
	d, ok := authenticator.DigestOf("one")
	must.True(t, ok)
	must.Eq(t, "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed", d.Text())
	must.Eq(t, "7692c3ad", fmt.Sprint(d))
	parsed, ok := authenticator.ParseDigest(d.Text())
	must.True(t, ok)
	must.Eq(t, d, parsed)
	for _, text := range []string{"", d.String(), d.Text() + "00", strings.Replace(d.Text(), "7", "g", 1)} {
		_, ok := authenticator.ParseDigest(text)
		must.False(t, ok, must.Sprint(text))
	}
}

// deployment returns the keys of 280 tenants, the number that docs/design/tenants.md measures with,
// two each, and one of these.
func deployment() (keys map[string][]string, known string) {
	keys = map[string][]string{}
	for i := range 280 {
		n := strconv.Itoa(i)
		keys["tenant"+n] = []string{"gkcuyj8pjbvk9m6" + n, "x2h6bq0v5d9s1r7" + n}
	}
	return keys, "x2h6bq0v5d9s1r7130"
}

// TestCheckDoesNotAllocate guards against a cost of refused keys that grows with their number.
func TestCheckDoesNotAllocate(t *testing.T) {
	keys, known := deployment()
	a := authenticator.New(keys)
	for _, k := range []string{known, "unknown", strings.Repeat("k", authenticator.MaxKeyBytes), strings.Repeat("k", 1000), ""} {
		must.Eq(t, 0, testing.AllocsPerRun(100, func() {
			d, _ := authenticator.DigestOf(k)
			a.Tenant(d)
		}))
	}
}

func BenchmarkCheck(b *testing.B) {
	keys, known := deployment()
	a := authenticator.New(keys)
	for name, k := range map[string]string{"known": known, "unknown": "x2h6bq0v5d9s1r7999", "longest": strings.Repeat("k", authenticator.MaxKeyBytes)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d, ok := authenticator.DigestOf(k); ok {
					a.Tenant(d)
				}
			}
		})
	}
}
