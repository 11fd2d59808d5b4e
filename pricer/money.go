package pricer

import (
	"strconv"
	"strings"
)

const (
	// defaultDecimals is the number of decimals of most currencies.
	defaultDecimals = 2
	digitsPerGroup  = 3
)

var (
	// decimals are the minor unit digits of the currencies that don't have
	// defaultDecimals, by ISO 4217 code.
	decimals = map[string]int{
		"BHD": 3, "CLP": 0, "ISK": 0, "JOD": 3, "JPY": 0, "KRW": 0, "KWD": 3, "OMR": 3, "TND": 3, "UGX": 0, "VND": 0, "XAF": 0, "XOF": 0,
	}
)

func decimalsOf(currency string) int {
	if d, known := decimals[currency]; known {
		return d
	}
	return defaultDecimals
}

// Plain formats an amount in the smallest unit of a currency as a number with the
// currency's decimals, such as "-1234.50".
func Plain(minor int64, currency string) string {
	d := decimalsOf(currency)
	sign, digits := "", strconv.FormatUint(absolute(minor), 10)
	if minor < 0 {
		sign = "-"
	}
	if d == 0 {
		return sign + digits
	}
	if len(digits) <= d {
		digits = strings.Repeat("0", d+1-len(digits)) + digits
	}
	return sign + digits[:len(digits)-d] + "." + digits[len(digits)-d:]
}

// Grouped formats an amount like Plain, with commas between thousands.
func Grouped(minor int64, currency string) string {
	text := Plain(minor, currency)
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	whole, fraction, found := strings.Cut(text, ".")
	for n := len(whole) - digitsPerGroup; n > 0; n -= digitsPerGroup {
		whole = whole[:n] + "," + whole[n:]
	}
	if found {
		whole += "." + fraction
	}
	return sign + whole
}

// Signed formats an amount like Grouped, with a plus sign if it is positive.
func Signed(minor int64, currency string) string {
	if minor > 0 {
		return "+" + Grouped(minor, currency)
	}
	return Grouped(minor, currency)
}

func absolute(n int64) uint64 {
	if n < 0 {
		return uint64(-(n + 1)) + 1
	}
	return uint64(n)
}
