// Package elector elects the daemon that leads. The leader's claim is a record in the
// platform's store. Each claim has a higher epoch than the one before; the epoch is the
// fencing token with which workers reject orders of former leaders. The leader renews its
// claim, and another daemon claims once it has read the store for a while without seeing
// a renewal.
package elector

import (
	"encoding/json"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
)

type (
	// Claim is the stored record of a leader.
	Claim struct {
		// Epoch is higher than that of every earlier claim.
		Epoch int64 `json:"epoch"`
		// Host and Address are those of the leader.
		Host    string `json:"host"`
		Address string `json:"address"`
		// Instance identifies the leader's process among all that its host has run.
		Instance string `json:"life"`
		// Renewal counts the renewals of this claim.
		Renewal int64 `json:"renewal"`
		// Resigned is whether the leader has given up its claim, so that another may
		// claim at once.
		Resigned bool `json:"resigned,omitempty"`
		// Unsettled is whether an earlier leader is not known to have stopped, so that it
		// may still send orders after this one has stopped.
		Unsettled bool `json:"unsettled,omitempty"`
		// Time is a reading of the clock that leaders hand on (clock.Relay), taken before the
		// claim was sent; 0 if there is none.
		Time clock.Millis `json:"time,omitempty"`
		// Sighting has readings of other clocks, for an outage of all daemons.
		Sighting Sighting `json:"sighting,omitzero"`
	}

	// Sighting is a set of readings of workers' clocks.
	Sighting struct {
		// Time is when they were taken, as a reading of the clock that leaders hand on.
		Time   clock.Millis                   `json:"time"`
		Clocks [MaxClockReadings]ClockReading `json:"clocks"`
	}

	// ClockReading is a time that the clock of a worker process had not passed when the sighting
	// was taken. Entries without a worker are not in use.
	ClockReading struct {
		Worker string `json:"worker,omitempty"`
		// Born is the start time of the process, in Unix milliseconds.
		Born  int64        `json:"born,omitempty"`
		Clock clock.Millis `json:"clock,omitempty"`
	}
)

const (
	// Key is the key of the claim in its topic.
	Key = "leader"
	// maxClaimBytes is ten times the size of a claim with all clock readings.
	maxClaimBytes = 16 << 10
	// maxNumber bounds epochs and times: the largest whole number that all readers of JSON agree on,
	// 2^53. Times in milliseconds reach it in 285,000 years.
	maxNumber = 1 << 53
	// MaxClockReadings is the maximum number of clock readings in a claim, as many as a scheduler
	// leaves.
	MaxClockReadings = 9
)

// Encode returns the claim as JSON.
func (c Claim) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		// All fields are plain values, so this is a programming error.
		panic(errors.Wrap(err, "elector.Claim.Encode"))
	}
	return b
}

// Decode parses a claim. The error is a *coder.Error for a record that no host can have written.
func Decode(b []byte) (Claim, error) {
	if len(b) > maxClaimBytes {
		return Claim{}, coder.New(coder.TooLarge, "claim of %d bytes, more than %d", len(b), maxClaimBytes)
	}
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		return Claim{}, coder.New(coder.Malformed, "claim that is not JSON of a claim")
	}
	if err := c.validate(); err != nil {
		return Claim{}, err
	}
	return c, nil
}

// validate returns an error for values that no host claims with, or that would overflow in what is
// counted from them.
func (c *Claim) validate() error {
	switch {
	case c.Epoch < 1 || c.Epoch > maxNumber || c.Renewal < 0 || c.Renewal > maxNumber:
		return coder.New(coder.OutOfRange, "claim with epoch %d and renewal %d", c.Epoch, c.Renewal)
	case c.Instance == "":
		return coder.New(coder.Missing, "claim without an instance")
	case !inRange(c.Time) || !inRange(c.Sighting.Time):
		return coder.New(coder.OutOfRange, "claim with a time of %d and a sighting of %d", int64(c.Time), int64(c.Sighting.Time))
	}
	for _, r := range c.Sighting.Clocks {
		if !inRange(r.Clock) || !inRange(clock.Millis(r.Born)) {
			return coder.New(coder.OutOfRange, "claim with the clock %d of a worker started at %d", int64(r.Clock), r.Born)
		}
	}
	return nil
}

func inRange(m clock.Millis) bool { return m >= -maxNumber && m <= maxNumber }
