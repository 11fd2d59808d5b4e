package meter

import (
	"math"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Work is who pays for a task, and what it reserves.
	Work struct {
		team     string
		name     string
		size     sizer.Size
		standing bool
	}

	payer struct {
		team string
		work string
	}
)

// NewWork gives the work of a team. Standing work, services and watch jobs, has
// no end of its own.
func NewWork(team, name string, size sizer.Size, standing bool) Work {
	return Work{team: team, name: name, size: size, standing: standing}
}

// Reservation gives the work as the STARTING record of a task carries it.
func (w Work) Reservation() *schema.Reservation {
	return &schema.Reservation{
		Team: w.team, Work: w.name, Standing: w.standing,
		Millicores: w.size.Millicores(), MemoryBytes: w.size.MemoryBytes(), Accelerators: w.size.Accelerators(),
	}
}

func workOf(r *schema.Reservation) Work {
	size := sizer.New(r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators())
	return NewWork(r.GetTeam(), r.GetWork(), size, r.GetStanding())
}

func (w Work) payer() payer { return payer{team: w.team, work: w.name} }

// held gives what w holds in a span. Memory counts in whole MiB, rounded up
// once for each task.
func (w Work) held(d clock.Millis) Amounts {
	return Amounts{
		ReservedProcessors:   w.size.Millicores() * int64(d),
		ReservedMemory:       mebibytes(w.size.MemoryBytes()) * int64(d),
		ReservedAccelerators: w.size.Accelerators() * int64(d),
		TaskMillis:           int64(d),
	}
}

// wasted gives the waste of w where all of a span was lost.
func (w Work) wasted(d clock.Millis) Amounts {
	h := w.held(d)
	return Amounts{
		WastedProcessors:   h[ReservedProcessors],
		WastedMemory:       h[ReservedMemory],
		WastedAccelerators: h[ReservedAccelerators],
	}
}

func mebibytes(b int64) int64 {
	if b > math.MaxInt64-sizer.MiB {
		return b / sizer.MiB
	}
	return (b + sizer.MiB - 1) / sizer.MiB
}
