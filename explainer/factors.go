package explainer

import (
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// factors are the factors of the cost of a work (a service or job): the volume, the
	// task time per unit of volume, each data centre's share of that time, the
	// reservation of a task there, and its price. The cost of wasted resources is not
	// part of the product but added to it.
	factors struct {
		// volume is the number of finished runs, or the useful task time in milliseconds.
		volume      float64
		runTime     float64
		dataCentres map[string]*dataCentreFactors
	}

	// dataCentreFactors are the factors of one data centre, by resource.
	dataCentreFactors struct {
		share float64
		// reservedRate is the reserved amount per millisecond of useful task time, in the
		// units of meter.Amounts, without the waste.
		reservedRate [pricer.Resources]float64
		price        [pricer.Resources]float64
		wasted       [pricer.Resources]float64
		// priced marks the resources whose price is set: those that the work reserved here.
		priced [pricer.Resources]bool
		// usefulMillis is the task time whose work was not lost.
		usefulMillis float64
	}
)

// factorsOf returns the factors of the work that the lines of a bill belong to. With
// volumeInRuns, the volume is the number of finished runs. Without it, or if no run
// finished, the volume is the useful task time, and runTime is 1.
func factorsOf(b *pricer.Bill, lines []pricer.Line, volumeInRuns bool) factors {
	f := factors{dataCentres: map[string]*dataCentreFactors{}}
	cells := map[meter.Cell]bool{}
	for _, l := range lines {
		p := f.dataCentre(l.Cell().DataCentre())
		if l.Reserved() != 0 {
			p.price[l.Resource()] = l.UnitPrice()
			p.priced[l.Resource()] = true
		}
		wasted := min(max(0, l.WastedAmount()), max(0, l.Reserved()))
		p.wasted[l.Resource()] += float64(wasted)
		p.reservedRate[l.Resource()] += float64(l.Reserved() - wasted)
		cells[l.Cell()] = true
	}
	runs, usefulMillis := 0.0, 0.0
	for c := range cells {
		a := b.Amounts(c)
		p := f.dataCentre(c.DataCentre())
		p.usefulMillis += usefulMillisOf(a)
		usefulMillis += usefulMillisOf(a)
		runs += float64(a[meter.Runs])
	}
	f.volume, f.runTime = usefulMillis, 1
	if volumeInRuns && runs > 0 {
		f.volume, f.runTime = runs, usefulMillis/runs
	}
	for _, p := range f.dataCentres {
		p.normalize(usefulMillis)
	}
	return f
}

func (f *factors) dataCentre(dataCentre string) *dataCentreFactors {
	if f.dataCentres[dataCentre] == nil {
		f.dataCentres[dataCentre] = &dataCentreFactors{}
	}
	return f.dataCentres[dataCentre]
}

// normalize derives the share of the total time, and turns the sums in reservedRate into
// rates.
func (p *dataCentreFactors) normalize(totalUsefulMillis float64) {
	if totalUsefulMillis == 0 || p.usefulMillis == 0 {
		p.reservedRate = [pricer.Resources]float64{}
		return
	}
	p.share = p.usefulMillis / totalUsefulMillis
	for r := range p.reservedRate {
		p.reservedRate[r] /= p.usefulMillis
	}
}

// usefulMillisOf returns the task time in milliseconds without the share whose work was
// lost. That share is taken to be the wasted share of the reserved processor time.
func usefulMillisOf(a meter.Amounts) float64 {
	if a[meter.ReservedProcessors] <= 0 {
		return float64(a[meter.TaskMillis])
	}
	usefulShare := 1 - float64(max(0, a[meter.WastedProcessors]))/float64(a[meter.ReservedProcessors])
	return float64(a[meter.TaskMillis]) * max(0, usefulShare)
}

// cost returns the product of the factors, which excludes the cost of wasted resources,
// in the smallest unit of the currency.
func (f factors) cost() float64 {
	total := 0.0
	for _, p := range f.dataCentres {
		for r := range p.reservedRate {
			total += f.volume * f.runTime * p.share * p.reservedRate[r] * p.price[r]
		}
	}
	return total
}

// attribute returns the effect of each factor on the difference between two costs of a
// work. It replaces the factors of before by those of after one by one, so that the
// effects add up to the difference.
func attribute(before, after factors) []effect {
	before, after = withMissingFrom(before, after), withMissingFrom(after, before)
	current := before
	previousCost := current.cost()
	var effects []effect
	record := func(k Kind) {
		cost := current.cost()
		effects = append(effects, effect{kind: k, amount: cost - previousCost})
		previousCost = cost
	}
	current.volume = after.volume
	record(Volume)
	current.runTime = after.runTime
	record(RunTime)
	current.dataCentres = mergeDataCentres(before, after, func(p *dataCentreFactors, q dataCentreFactors) { p.share = q.share })
	record(Move)
	current.dataCentres = mergeDataCentres(before, after, func(p *dataCentreFactors, q dataCentreFactors) { p.share, p.reservedRate = q.share, q.reservedRate })
	record(Size)
	current.dataCentres = after.dataCentres
	record(Price)
	moreWaste, priceChange := wasteEffects(before, after)
	effects[len(effects)-1].amount += priceChange
	return append(effects, effect{kind: Eviction, amount: moreWaste})
}

// withMissingFrom returns f with the reservations and prices of g for the data centres
// and resources that f lacks. So for work that moves to a new data centre, the size and
// price there are those of g, not zero.
func withMissingFrom(f, g factors) factors {
	c := factors{volume: f.volume, runTime: f.runTime, dataCentres: map[string]*dataCentreFactors{}}
	for dc, p := range f.dataCentres {
		q := *p
		c.dataCentres[dc] = &q
	}
	for dc, p := range g.dataCentres {
		q := c.dataCentres[dc]
		if q == nil {
			c.dataCentres[dc] = &dataCentreFactors{reservedRate: p.reservedRate, price: p.price, priced: p.priced}
			continue
		}
		if q.usefulMillis == 0 {
			q.reservedRate = p.reservedRate
		}
		for r := range q.price {
			if !q.priced[r] {
				q.price[r], q.priced[r] = p.price[r], p.priced[r]
			}
		}
	}
	return c
}

// mergeDataCentres returns the data centres of before, each modified by set, which gets
// its factors in before as p and in after as q.
func mergeDataCentres(before, after factors, set func(p *dataCentreFactors, q dataCentreFactors)) map[string]*dataCentreFactors {
	merged := map[string]*dataCentreFactors{}
	for dc, p := range before.dataCentres {
		q := *p
		set(&q, *after.dataCentres[dc])
		merged[dc] = &q
	}
	return merged
}

// wasteEffects returns the effect of a different amount of waste at the prices of before,
// and the effect of the price change on the waste of after.
func wasteEffects(before, after factors) (moreWaste, priceChange float64) {
	for dc, p := range before.dataCentres {
		q := after.dataCentres[dc]
		for r := range p.wasted {
			moreWaste += (q.wasted[r] - p.wasted[r]) * p.price[r]
			priceChange += q.wasted[r] * (q.price[r] - p.price[r])
		}
	}
	return moreWaste, priceChange
}
