package explainer

import (
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
)

type (
	// factors is what the cost of a work is the product of: runs, task time
	// a run, the share of each data centre in it, what a task holds there and
	// its price. Waste stands aside.
	factors struct {
		runs    float64
		runTime float64
		places  map[string]*place
	}

	// place is the factors of one data centre.
	place struct {
		share  float64
		held   [pricer.Resources]float64
		price  [pricer.Resources]float64
		wasted [pricer.Resources]float64
		// known is the resources that have a price here.
		known [pricer.Resources]bool
		time  float64
	}
)

// factorsOf gives the factors of one work of a bill. Work of which no run came
// to an end, or not in both bills, counts by its time alone.
func factorsOf(b *pricer.Bill, lines []pricer.Line, byRuns bool) factors {
	f := factors{places: map[string]*place{}}
	cells := map[meter.Cell]bool{}
	for _, l := range lines {
		p := f.place(l.Cell().DataCentre())
		if l.Reserved() != 0 {
			p.price[l.Resource()] = l.UnitPrice()
			p.known[l.Resource()] = true
		}
		wasted := min(max(0, l.WastedAmount()), max(0, l.Reserved()))
		p.wasted[l.Resource()] += float64(wasted)
		p.held[l.Resource()] += float64(l.Reserved() - wasted)
		cells[l.Cell()] = true
	}
	runs, time := 0.0, 0.0
	for c := range cells {
		a := b.Amounts(c)
		p := f.place(c.DataCentre())
		p.time += usefulTime(a)
		time += usefulTime(a)
		runs += float64(a[meter.Runs])
	}
	f.runs, f.runTime = time, 1
	if byRuns && runs > 0 {
		f.runs, f.runTime = runs, time/runs
	}
	for _, p := range f.places {
		p.finish(time)
	}
	return f
}

func (f *factors) place(dataCentre string) *place {
	if f.places[dataCentre] == nil {
		f.places[dataCentre] = &place{}
	}
	return f.places[dataCentre]
}

func (p *place) finish(time float64) {
	if time == 0 || p.time == 0 {
		p.held = [pricer.Resources]float64{}
		return
	}
	p.share = p.time / time
	for r := range p.held {
		p.held[r] /= p.time
	}
}

// usefulTime gives the task time whose work was not lost.
func usefulTime(a meter.Amounts) float64 {
	if a[meter.ReservedProcessors] <= 0 {
		return float64(a[meter.TaskMillis])
	}
	kept := 1 - float64(max(0, a[meter.WastedProcessors]))/float64(a[meter.ReservedProcessors])
	return float64(a[meter.TaskMillis]) * max(0, kept)
}

// cost gives the cost without waste.
func (f factors) cost() float64 {
	total := 0.0
	for _, p := range f.places {
		for r := range p.held {
			total += f.runs * f.runTime * p.share * p.held[r] * p.price[r]
		}
	}
	return total
}

// compare gives what each factor makes of the difference between two costs of a
// work: the factors change one after the other from what they were to what
// they are, so that the effects add up to the difference.
func compare(was, is factors) []effect {
	was, is = completed(was, is), completed(is, was)
	now := was
	last := now.cost()
	var effects []effect
	step := func(k Kind) {
		cost := now.cost()
		effects = append(effects, effect{kind: k, amount: cost - last})
		last = cost
	}
	now.runs = is.runs
	step(Volume)
	now.runTime = is.runTime
	step(RunTime)
	now.places = merged(was, is, func(p *place, q place) { p.share = q.share })
	step(Move)
	now.places = merged(was, is, func(p *place, q place) { p.share, p.held = q.share, q.held })
	step(Size)
	now.places = is.places
	step(Price)
	lost, dearer := waste(was, is)
	effects[len(effects)-1].amount += dearer
	return append(effects, effect{kind: Eviction, amount: lost})
}

// completed gives f with the places of g: where f has nothing, a task would have
// held there what it holds in g, at the price of g.
func completed(f, g factors) factors {
	c := factors{runs: f.runs, runTime: f.runTime, places: map[string]*place{}}
	for dc, p := range f.places {
		q := *p
		c.places[dc] = &q
	}
	for dc, p := range g.places {
		q := c.places[dc]
		if q == nil {
			c.places[dc] = &place{held: p.held, price: p.price, known: p.known}
			continue
		}
		if q.time == 0 {
			q.held = p.held
		}
		for r := range q.price {
			if !q.known[r] {
				q.price[r], q.known[r] = p.price[r], p.known[r]
			}
		}
	}
	return c
}

func merged(was, is factors, set func(p *place, q place)) map[string]*place {
	places := map[string]*place{}
	for dc, p := range was.places {
		q := *p
		set(&q, *is.places[dc])
		places[dc] = &q
	}
	return places
}

// waste gives the cost of more or less waste at the old prices, and of the new
// prices for what is wasted now.
func waste(was, is factors) (lost, dearer float64) {
	for dc, p := range was.places {
		q := is.places[dc]
		for r := range p.wasted {
			lost += (q.wasted[r] - p.wasted[r]) * p.price[r]
			dearer += q.wasted[r] * (q.price[r] - p.price[r])
		}
	}
	return lost, dearer
}
