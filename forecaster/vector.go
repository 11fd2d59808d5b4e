package forecaster

import (
	"galenawharf.example/galenawharf/meter"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// vector holds a value for each pricer.Resource: reservations in the units of
	// meter.Amounts, or a rate, price or cost.
	vector [pricer.Resources]float64

	// vector32 is a vector of float32, which halves the memory of long histories.
	vector32 [pricer.Resources]float32
)

func (v vector) add(w vector) vector {
	for r := range v {
		v[r] += w[r]
	}
	return v
}

func (v vector) scale(f float64) vector {
	for r := range v {
		v[r] *= f
	}
	return v
}

// mul multiplies v by another vector element by element.
func (v vector) mul(by vector) vector {
	for r := range v {
		v[r] *= by[r]
	}
	return v
}

func (v vector) isZero() bool { return v == vector{} }

// reservedOf returns the reserved amounts, which are the first fields of meter.Amounts, in the
// order of pricer.Resource.
func reservedOf(a meter.Amounts) vector {
	var v vector
	for r := range v {
		v[r] = float64(a[r])
	}
	return v
}

// reservationRate returns what a reservation of size s adds to meter.Amounts per millisecond.
func reservationRate(s sizer.Size) vector {
	mib := (s.MemoryBytes() + sizer.MiB - 1) / sizer.MiB
	return vector{float64(s.Millicores()), float64(mib), float64(s.Accelerators())}
}

func (v vector) vector32() vector32 {
	var s vector32
	for r := range v {
		s[r] = float32(v[r])
	}
	return s
}

func (s vector32) vector() vector {
	var v vector
	for r := range s {
		v[r] = float64(s[r])
	}
	return v
}
