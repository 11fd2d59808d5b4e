package declarer

import (
	"time"
	// Embeds the time zone database, so that times don't depend on the files of a host.
	_ "time/tzdata"
)

type (
	// Operator is the organisation that runs the deployment, with the currency and
	// time zone of its bill. A deployment has at most one. The operator of a change is
	// something else: the name of the person who makes it.
	Operator struct {
		Name string `json:"name"`
		// Currency is an ISO 4217 code.
		Currency string `json:"currency"`
		// TimeZone is an IANA name. Billing months begin at its midnight, and
		// calendars of jobs are in it.
		TimeZone string `json:"time-zone"`
	}
)

// Validate adds every error in o to v.
func (o Operator) Validate(v *Validator) {
	v.name("name", o.Name)
	if len(o.Currency) != 3 {
		v.badFormat("currency", "%q is not a currency of three letters, such as EUR", o.Currency)
	}
	if _, err := time.LoadLocation(o.TimeZone); err != nil || o.TimeZone == "" {
		v.badFormat("time-zone", "%q is not a time zone, such as Europe/Ljubljana", o.TimeZone)
	}
}
