package dispatcher

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// digestOf gives the digest of a payload as answers state it.
func digestOf(payload []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(payload)) }

// verify gives an error of code Incomplete unless the response is the whole
// answer to the request id.
func verify(id string, r provider.Response) error {
	switch {
	case r.ID != id:
		return coder.New(coder.Incomplete, "the answer is to another request")
	case r.Length != int64(len(r.Payload)):
		return coder.New(coder.Incomplete, "the answer has %d bytes of %d", len(r.Payload), r.Length)
	case r.Digest != digestOf(r.Payload):
		return coder.New(coder.Incomplete, "the digest of the answer is wrong")
	}
	return nil
}

// success gives the answer with an executor's response, which was verified.
func success(id string, r provider.Response) *schema.Answer {
	return &schema.Answer{RequestId: id, Payload: r.Payload, Length: r.Length, Digest: r.Digest}
}

// refusal gives an answer without a payload and when to come back, 0 for never.
func refusal(id string, c coder.Code, retryAfter clock.Millis, reason string) *schema.Answer {
	return &schema.Answer{RequestId: id, ResultCode: int32(c), Reason: reason, RetryAfterMillis: int64(retryAfter)}
}
