package conductor

import "strconv"

func formatInt(e int64) string { return strconv.FormatInt(e, 10) }

// maxEpoch is above every epoch that a host can have: the largest that a claim may have.
const maxEpoch = 1 << 53

// parseInt parses the value of a record with a number, such as an epoch. It returns 0, which is
// lower than every number in use, if the value is missing, malformed or above maxEpoch.
func parseInt(b []byte) int64 {
	e, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil || e < 0 || e > maxEpoch {
		return 0
	}
	return e
}
