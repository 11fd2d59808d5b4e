package declarer

import (
	"time"
	// Time zones must not depend on the files of a host.
	_ "time/tzdata"
)

type (
	// Operator says who runs the deployment, and how its bill is counted.
	Operator struct {
		Name string `json:"name"`
		// Currency is an ISO 4217 code.
		Currency string `json:"currency"`
		// TimeZone is an IANA name; months begin at its midnight.
		TimeZone string `json:"time-zone"`
	}
)

// Validate gives every fault of o.
func (o Operator) Validate(v *Validator) {
	v.name("name", o.Name)
	if len(o.Currency) != 3 {
		v.badFormat("currency", "%q is not a currency of three letters, such as EUR", o.Currency)
	}
	if _, err := time.LoadLocation(o.TimeZone); err != nil || o.TimeZone == "" {
		v.badFormat("time-zone", "%q is not a time zone, such as Europe/Ljubljana", o.TimeZone)
	}
}
