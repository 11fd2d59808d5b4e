package claimer

import (
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Actions are the log appends and calls to peers that a Claimer requests.
	Actions struct {
		records      []*schema.Record
		promiseCalls []PromiseCall
	}

	// PromiseCall is a request to a peer for its promise not to claim a shard for a while.
	// sentAt is the local time at which it was made.
	PromiseCall struct {
		sentAt  clock.Millis
		request *schema.PromiseRequest
	}
)

// Records returns the records to append to the data centre's stream in a single append,
// whose result is to be passed to Claimer.Appended.
func (a Actions) Records() []*schema.Record { return a.records }

// PromiseCalls returns the promise requests to send to peers. Each response is to be passed to
// Claimer.HandlePromiseResponse; requests without a response need no call.
func (a Actions) PromiseCalls() []PromiseCall { return a.promiseCalls }

// Daemon returns the name of the daemon to send the request to.
func (a PromiseCall) Daemon() string { return DaemonOf(a.request.GetClaimant()) }

// Request returns the message to send.
func (a PromiseCall) Request() *schema.PromiseRequest { return a.request }

// Encode returns the records as protobuf messages, as the log stores them.
func Encode(records []*schema.Record) ([][]byte, error) {
	data := make([][]byte, 0, len(records))
	for _, r := range records {
		d, err := proto.Marshal(r)
		if err != nil {
			return nil, err
		}
		data = append(data, d)
	}
	return data, nil
}
