package authenticator_test

import (
	"fmt"

	"galenawharf.example/galenawharf/authenticator"
)

func Example() {
	a := authenticator.New(map[string][]string{
		"north": {"gkcuyj8pjbvk9m68k7b2", "x2h6bq0v5d9s1r7m3n8t"},
		"south": {"p4w8z1c6f0j3l9y5k2a7"},
	})
	d, _ := authenticator.DigestOf("p4w8z1c6f0j3l9y5k2a7")
	tenant, ok := a.Tenant(d)
	fmt.Println(d, tenant, ok)
	fmt.Println(a.Keys("north"))
	// Output:
	// 2b928ba5 south true
	// 2
}
