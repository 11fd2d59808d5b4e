package forecaster

import (
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// vector is an amount of each resource, in the units of meter.Amounts.
	vector [pricer.Resources]float64

	// short is a vector in half the memory, for long histories.
	short [pricer.Resources]float32
)

func (v vector) plus(w vector) vector {
	for r := range v {
		v[r] += w[r]
	}
	return v
}

func (v vector) times(f float64) vector {
	for r := range v {
		v[r] *= f
	}
	return v
}

func (v vector) scaled(by vector) vector {
	for r := range v {
		v[r] *= by[r]
	}
	return v
}

func (v vector) isZero() bool { return v == vector{} }

func vectorOf(a meter.Amounts) vector {
	var v vector
	for r := range v {
		v[r] = float64(a[r])
	}
	return v
}

// rateOf gives what a size holds in a millisecond.
func rateOf(s sizer.Size) vector {
	mib := (s.MemoryBytes() + sizer.MiB - 1) / sizer.MiB
	return vector{float64(s.Millicores()), float64(mib), float64(s.Accelerators())}
}

func (v vector) short() short {
	var s short
	for r := range v {
		s[r] = float32(v[r])
	}
	return s
}

func (s short) vector() vector {
	var v vector
	for r := range s {
		v[r] = float64(s[r])
	}
	return v
}
