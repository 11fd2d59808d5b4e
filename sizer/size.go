// Package sizer has the size of work and of workers in the three resources
// that are never overcommitted: processors, memory and accelerators.
package sizer

import "math"

type (
	// Size is an amount of each resource. The zero value is nothing.
	Size struct {
		millicores   int64
		memory       int64
		accelerators int64
	}
)

// New gives a size of processors in thousandths of a core, memory in bytes and
// whole accelerators.
func New(millicores, memoryBytes, accelerators int64) Size {
	return Size{millicores: millicores, memory: memoryBytes, accelerators: accelerators}
}

// Millicores gives the processors in thousandths of a core.
func (s Size) Millicores() int64 { return s.millicores }

// MemoryBytes gives the memory in bytes.
func (s Size) MemoryBytes() int64 { return s.memory }

// Accelerators gives the number of whole accelerators.
func (s Size) Accelerators() int64 { return s.accelerators }

// Add gives the sum of s and t; each part stays at the largest value instead
// of overflowing.
func (s Size) Add(t Size) Size {
	return Size{
		millicores:   add(s.millicores, t.millicores),
		memory:       add(s.memory, t.memory),
		accelerators: add(s.accelerators, t.accelerators),
	}
}

// Sub gives s less t; parts may become negative.
func (s Size) Sub(t Size) Size {
	return Size{
		millicores:   s.millicores - t.millicores,
		memory:       s.memory - t.memory,
		accelerators: s.accelerators - t.accelerators,
	}
}

// Times gives n of s; each part stays at the largest value instead of
// overflowing. n is not negative.
func (s Size) Times(n int64) Size {
	return Size{
		millicores:   times(s.millicores, n),
		memory:       times(s.memory, n),
		accelerators: times(s.accelerators, n),
	}
}

// Fits tells whether s is at most room in every resource.
func (s Size) Fits(room Size) bool {
	return s.millicores <= room.millicores && s.memory <= room.memory && s.accelerators <= room.accelerators
}

// IsZero tells whether s is nothing of every resource.
func (s Size) IsZero() bool { return s == Size{} }

// IsNegative tells whether any resource is below zero.
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
