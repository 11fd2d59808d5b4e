package dispatcher

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// digestOf returns the digest of a payload as in provider.Response: its 64-bit xxHash in
// hexadecimal.
func digestOf(payload []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(payload)) }

// verify returns an error of code Incomplete if the response belongs to another request,
// is truncated or is corrupt.
func verify(id string, r provider.Response) error {
	switch {
	case r.ID != id:
		return coder.New(coder.Incomplete, "the response is for another request")
	case r.Length != int64(len(r.Payload)):
		return coder.New(coder.Incomplete, "the response has %d bytes, expected %d", len(r.Payload), r.Length)
	case r.Digest != digestOf(r.Payload):
		return coder.New(coder.Incomplete, "the digest of the response does not match its payload")
	}
	return nil
}

// success returns the caller's answer for a verified response.
func success(id string, r provider.Response) *schema.Answer {
	return &schema.Answer{RequestId: id, Payload: r.Payload, Length: r.Length, Digest: r.Digest}
}

// failure returns an answer with a result code other than OK and without a payload. A
// retryAfter of 0 means that the caller should not retry.
func failure(id string, c coder.Code, retryAfter clock.Millis, reason string) *schema.Answer {
	return &schema.Answer{RequestId: id, ResultCode: int32(c), Reason: reason, RetryAfterMillis: int64(retryAfter)}
}
