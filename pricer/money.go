package pricer

import (
	"strconv"
	"strings"
)

const (
	// usualDecimals is how many decimals most currencies have.
	usualDecimals = 2
	groupSize     = 3
)

var (
	// decimals of currencies with others than usual, by ISO 4217.
	decimals = map[string]int{
		"BHD": 3, "CLP": 0, "ISK": 0, "JOD": 3, "JPY": 0, "KRW": 0, "KWD": 3, "OMR": 3, "TND": 3, "UGX": 0, "VND": 0, "XAF": 0, "XOF": 0,
	}
)

func decimalsOf(currency string) int {
	if d, known := decimals[currency]; known {
		return d
	}
	return usualDecimals
}

// Plain gives an amount of the smallest unit of a currency as a number with its
// decimals, such as "-1234.50".
func Plain(minor int64, currency string) string {
	d := decimalsOf(currency)
	sign, digits := "", strconv.FormatUint(magnitude(minor), 10)
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

// Grouped gives an amount as Plain does, with commas between thousands.
func Grouped(minor int64, currency string) string {
	text := Plain(minor, currency)
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	whole, fraction, found := strings.Cut(text, ".")
	for n := len(whole) - groupSize; n > 0; n -= groupSize {
		whole = whole[:n] + "," + whole[n:]
	}
	if found {
		whole += "." + fraction
	}
	return sign + whole
}

// Signed gives a difference as Grouped does, with its sign.
func Signed(minor int64, currency string) string {
	if minor > 0 {
		return "+" + Grouped(minor, currency)
	}
	return Grouped(minor, currency)
}

func magnitude(n int64) uint64 {
	if n < 0 {
		return uint64(-(n + 1)) + 1
	}
	return uint64(n)
}
