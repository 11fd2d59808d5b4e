package declarer

import (
	"cmp"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
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

// PastPrices gives every price of a change that would alter what days before
// today cost: one that was in force and is changed or deleted, or a new one
// from a day on which another was in force. The first price of a resource in a
// data centre may begin in the past, since nothing was billed yet. It is
// checked before a change is appended, since the log has no time of its own.
func PastPrices(s *State, c *schema.Change, now clock.Millis) coder.Errors {
	today := now.Time().In(s.zone()).Format(DateLayout)
	var faults coder.Errors
	for _, i := range c.GetItems() {
		if Kind(i.GetKind()) != KindPrice {
			continue
		}
		if f := s.pastPrice(i, today); f != nil {
			faults = append(faults, f)
		}
	}
	return faults
}

func (s *State) pastPrice(i *schema.ChangeItem, today string) *coder.Error {
	k := KeyOf(KindPrice, i.GetName())
	if old, declared := s.items[k].value.(Price); declared && old.From < today {
		return coder.At(coder.BadPrice, k.String(), "was in force from %s on and can't be changed; declare one from today, %s, or later", old.From, today)
	}
	item, faults := ParseItem(KindPrice, i.GetName(), i.GetDocument(), k.String())
	if i.GetDelete() || len(faults) > 0 {
		return nil
	}
	p := item.value.(Price)
	for _, other := range s.Prices() {
		if other.DataCentre == p.DataCentre && other.Resource == p.Resource && other.From < today && p.From < today {
			return coder.At(coder.BadPrice, k.String(), "begins on %s, before today, %s, and another price of it was in force", p.From, today)
		}
	}
	return nil
}

// zone gives the operator's time zone, UTC where none is declared.
func (s *State) zone() *time.Location {
	o, _ := s.Operator()
	z, err := time.LoadLocation(o.TimeZone)
	if err != nil {
		return time.UTC
	}
	return z
}
