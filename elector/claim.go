// Package elector agrees on the one daemon that leads. The leader's claim lies in
// the platform's store; each claim has an epoch of its own, which fences the orders
// of former leaders. The leader renews its claim, and another daemon claims when it
// has seen no renewal for a while although it reads the store.
package elector

import (
	"encoding/json"

	"github.com/pkg/errors"
)

type (
	// Claim says who leads.
	Claim struct {
		// Epoch is higher than that of every earlier claim.
		Epoch int64 `json:"epoch"`
		// Host and Address name the leader.
		Host    string `json:"host"`
		Address string `json:"address"`
		// Life tells apart the processes that a host has run.
		Life string `json:"life"`
		// Renewal counts the renewals of this claim.
		Renewal int64 `json:"renewal"`
		// Resigned is set when the leader has ended its work by itself.
		Resigned bool `json:"resigned,omitempty"`
	}
)

// Key is that of the claim in its topic.
const Key = "leader"

// Encode returns the stored form.
func (c Claim) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		// All fields are plain values, so this is a fault of the program.
		panic(errors.Wrap(err, "elector.Claim.Encode"))
	}
	return b
}

// Decode reads the stored form.
func Decode(b []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		return Claim{}, errors.Wrap(err, "elector.Decode")
	}
	return c, nil
}
