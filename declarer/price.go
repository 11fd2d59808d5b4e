package declarer

import (
	"cmp"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Resource is a billed resource.
	Resource string

	// Price is the price of a resource in a data centre, from a day until the next
	// price of the same resource and data centre.
	Price struct {
		// Name is "DATA-CENTRE.RESOURCE.FROM".
		Name       string   `json:"name"`
		DataCentre string   `json:"data-centre"`
		Resource   Resource `json:"resource"`
		// From is the first day, in DateLayout.
		From string `json:"from"`
		// HourlyMillionths is the price of one core, GiB or accelerator for an
		// hour, in millionths of the smallest unit of the currency.
		HourlyMillionths int64 `json:"hourly-millionths"`
		// Committed is the number of cores, GiB or accelerators that are billed
		// whether used or not.
		Committed int64 `json:"committed"`
	}
)

// Billed resources.
const (
	ResourceProcessors   Resource = "processors"
	ResourceMemory       Resource = "memory"
	ResourceAccelerators Resource = "accelerators"

	maxHourlyMillionths = 1_000_000_000_000
	maxCommitted        = 1_000_000
)

// Defaults sets the default of each omitted field.
func (p *Price) Defaults() {
	p.Name = cmp.Or(p.Name, p.DataCentre+"."+string(p.Resource)+"."+p.From)
}

// Validate adds every error in p to v.
func (p Price) Validate(v *Validator) {
	v.name("data-centre", p.DataCentre)
	switch p.Resource {
	case ResourceProcessors, ResourceMemory, ResourceAccelerators:
	default:
		v.badFormat("resource", "%q is none of processors, memory and accelerators", p.Resource)
	}
	if _, err := time.Parse(DateLayout, p.From); err != nil {
		v.badFormat("from", "%q is not a day of the form 2026-09-01", p.From)
	}
	v.between("hourly-millionths", p.HourlyMillionths, 0, maxHourlyMillionths)
	v.between("committed", p.Committed, 0, maxCommitted)
	if want := p.DataCentre + "." + string(p.Resource) + "." + p.From; p.Name != want {
		v.badFormat("name", "must be %q", want)
	}
}

// CheckPastPrices returns an error for each price in a change that would alter the cost of
// days before today: a changed or deleted price that was in force, or a new price that
// begins before today where another price was in force. The first price of a resource in
// a data centre may begin in the past, since nothing was billed yet.
//
// It must be called before the change is appended to the log. State.Apply can't check
// this, since the log has no time of its own and each daemon must reach the same result.
func CheckPastPrices(s *State, c *schema.Change, now clock.Millis) coder.Errors {
	today := now.Time().In(s.zone()).Format(DateLayout)
	var faults coder.Errors
	for _, i := range c.GetItems() {
		if Kind(i.GetKind()) != KindPrice {
			continue
		}
		if f := s.checkPriceDates(i, today); f != nil {
			faults = append(faults, f)
		}
	}
	return faults
}

// checkPriceDates returns the error of one price in a change, as described at CheckPastPrices,
// or nil. today is in DateLayout. An item that can't be parsed has no error here, since
// State.Apply refuses it.
func (s *State) checkPriceDates(i *schema.ChangeItem, today string) *coder.Error {
	k := KeyOf(KindPrice, i.GetName())
	if old, declared := s.items[k].value.(Price); declared && old.From < today {
		return coder.At(coder.BadPrice, k.String(), "has been in force since %s and can't be changed; declare a price from today, %s, or later", old.From, today)
	}
	item, faults := ParseItem(KindPrice, i.GetName(), i.GetDocument(), k.String())
	if i.GetDelete() || len(faults) > 0 {
		return nil
	}
	p := item.value.(Price)
	for _, other := range s.Prices() {
		if other.DataCentre == p.DataCentre && other.Resource == p.Resource && other.From < today && p.From < today {
			return coder.At(coder.BadPrice, k.String(), "begins on %s, before today, %s, when another price of this resource was in force", p.From, today)
		}
	}
	return nil
}

// zone returns the operator's time zone, or UTC if none is declared.
func (s *State) zone() *time.Location {
	o, _ := s.Operator()
	z, err := time.LoadLocation(o.TimeZone)
	if err != nil {
		return time.UTC
	}
	return z
}
