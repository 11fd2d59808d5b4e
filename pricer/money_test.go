package pricer

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestMoney(t *testing.T) {
	tests := map[string]struct {
		minor          int64
		currency       string
		plain, grouped string
	}{
		"zero":           {0, "EUR", "0.00", "0.00"},
		"less than one":  {-7, "TTD", "-0.07", "-0.07"},
		"thousands":      {123456789, "EUR", "1234567.89", "1,234,567.89"},
		"no decimals":    {1234567, "JPY", "1234567", "1,234,567"},
		"three decimals": {1234567, "KWD", "1234.567", "1,234.567"},
		"least int64":    {-9223372036854775808, "EUR", "-92233720368547758.08", "-92,233,720,368,547,758.08"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.plain, Plain(tc.minor, tc.currency))
			must.Eq(t, tc.grouped, Grouped(tc.minor, tc.currency))
		})
	}
}
