package conductor

import "strconv"

func formatInt(e int64) string { return strconv.FormatInt(e, 10) }

// parseEpoch parses the value of an epoch record. It returns 0, which is lower than every
// epoch in use, if the value is missing or malformed.
func parseEpoch(b []byte) int64 {
	e, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return 0
	}
	return e
}
