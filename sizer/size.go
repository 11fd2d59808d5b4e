// Package sizer has Size, an amount of processors, memory and accelerators. Sizes are the
// resource reservations of tasks and the capacities of workers. No resource of a worker is
// ever overcommitted.
package sizer

import "math"

type (
	// Size is an amount of each resource. The zero value is an amount of 0 of each.
	Size struct {
		millicores   int64
		memory       int64
		accelerators int64
	}
)

// New returns a size of processors in millicores, memory in bytes and whole accelerators.
func New(millicores, memoryBytes, accelerators int64) Size {
	return Size{millicores: millicores, memory: memoryBytes, accelerators: accelerators}
}

// Millicores returns the processors in thousandths of a core.
func (s Size) Millicores() int64 { return s.millicores }

// MemoryBytes returns the memory in bytes.
func (s Size) MemoryBytes() int64 { return s.memory }

// Accelerators returns the number of whole accelerators.
func (s Size) Accelerators() int64 { return s.accelerators }

// Add returns the sum of s and t. Each resource saturates at math.MaxInt64 instead of
// overflowing.
func (s Size) Add(t Size) Size {
	return Size{
		millicores:   add(s.millicores, t.millicores),
		memory:       add(s.memory, t.memory),
		accelerators: add(s.accelerators, t.accelerators),
	}
}

// Sub returns s minus t. Resources may become negative.
func (s Size) Sub(t Size) Size {
	return Size{
		millicores:   s.millicores - t.millicores,
		memory:       s.memory - t.memory,
		accelerators: s.accelerators - t.accelerators,
	}
}

// Times returns s multiplied by n, which must not be negative. Each resource saturates at
// math.MaxInt64 instead of overflowing.
func (s Size) Times(n int64) Size {
	return Size{
		millicores:   times(s.millicores, n),
		memory:       times(s.memory, n),
		accelerators: times(s.accelerators, n),
	}
}

// Fits reports whether s is at most room in every resource.
func (s Size) Fits(room Size) bool {
	return s.millicores <= room.millicores && s.memory <= room.memory && s.accelerators <= room.accelerators
}

// IsZero reports whether every resource is 0.
func (s Size) IsZero() bool { return s == Size{} }

// IsNegative reports whether any resource is below 0.
func (s Size) IsNegative() bool { return s.millicores < 0 || s.memory < 0 || s.accelerators < 0 }

func add(a, b int64) int64 {
	if b > 0 && a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

func times(a, n int64) int64 {
	if a > 0 && n > math.MaxInt64/a {
		return math.MaxInt64
	}
	return a * n
}
