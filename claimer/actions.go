package claimer

import (
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Actions are what a Claimer wants done.
	Actions struct {
		records []*schema.Record
		asks    []Ask
	}

	// Ask is the wish for a promise of a peer.
	Ask struct {
		at      clock.Millis
		request *schema.PromiseRequest
	}
)

// Records gives the records to append to the data centre's stream in one go.
// Their fate is told with Claimer.Appended.
func (a Actions) Records() []*schema.Record { return a.records }

// Asks gives the promises to ask for, each told with Claimer.Promised where it
// is answered.
func (a Actions) Asks() []Ask { return a.asks }

// Daemon gives the name of the peer to ask.
func (a Ask) Daemon() string { return DaemonOf(a.request.GetClaimant()) }

// Request gives the message to send.
func (a Ask) Request() *schema.PromiseRequest { return a.request }

// Encode gives records in the form of the log.
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
