package conductor

import (
	"encoding/json"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/recorder"
)

type (
	// timeRecord is a reading of the clock that leaders hand on. Each append of a leader has one,
	// and the leader may extend leases for leaseGrantLimit after that.
	timeRecord struct {
		// Epoch is that of the leader that stored the record. If the newest epoch record is of
		// another one, a leader of a version without time records has led since.
		Epoch int64        `json:"epoch"`
		Time  clock.Millis `json:"time"`
	}

	// formerRecords are the records of the former leader's last append.
	formerRecords struct{ epoch, time []byte }
)

// timeKey is the key of the time record.
const timeKey = "time"

func (r timeRecord) item() recorder.Item {
	b, err := json.Marshal(r)
	if err != nil {
		// All fields are plain values, so this is a programming error.
		panic(errors.Wrap(err, "conductor.timeRecord.item"))
	}
	return recorder.Item{Key: timeKey, Value: b}
}

// lastProof returns the time of the former leader's last append on the clock that leaders hand on. It
// returns false if the former leader has left none.
func (f formerRecords) lastProof() (clock.Millis, bool) {
	var r timeRecord
	if err := json.Unmarshal(f.time, &r); err != nil || r.Epoch != parseInt(f.epoch) {
		return 0, false
	}
	return r.Time, true
}
