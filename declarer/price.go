package declarer

import (
	"cmp"
	"time"
)

type (
	// Resource is what a price is for.
	Resource string

	// Price is what a resource costs in a data centre from a day on, until
	// the next price of the same resource and data centre.
	Price struct {
		// Name is "<data centre>.<resource>.<from>".
		Name       string   `json:"name"`
		DataCentre string   `json:"data-centre"`
		Resource   Resource `json:"resource"`
		From       string   `json:"from"`
		// HourlyMillionths is the price of one core, GiB or accelerator for
		// an hour, in millionths of the smallest unit of the currency.
		HourlyMillionths int64 `json:"hourly-millionths"`
		// Committed is the number of cores, GiB or accelerators that are paid
		// for whether used or not.
		Committed int64 `json:"committed"`
	}
)

// Resources that are paid for.
const (
	ResourceProcessors   Resource = "processors"
	ResourceMemory       Resource = "memory"
	ResourceAccelerators Resource = "accelerators"

	maxHourlyMillionths = 1_000_000_000_000
	maxCommitted        = 1_000_000
)

// Defaults fills what was left out.
func (p *Price) Defaults() {
	p.Name = cmp.Or(p.Name, p.DataCentre+"."+string(p.Resource)+"."+p.From)
}

// Validate gives every fault of p.
func (p Price) Validate(v *Validator) {
	v.name("data-centre", p.DataCentre)
	switch p.Resource {
	case ResourceProcessors, ResourceMemory, ResourceAccelerators:
	default:
		v.badFormat("resource", "%q is none of processors, memory and accelerators", p.Resource)
	}
	if _, err := time.Parse(DateLayout, p.From); err != nil {
		v.badFormat("from", "%q is not a day, such as 2026-09-01", p.From)
	}
	v.between("hourly-millionths", p.HourlyMillionths, 0, maxHourlyMillionths)
	v.between("committed", p.Committed, 0, maxCommitted)
	if want := p.DataCentre + "." + string(p.Resource) + "." + p.From; p.Name != want {
		v.badFormat("name", "must be %q", want)
	}
}
