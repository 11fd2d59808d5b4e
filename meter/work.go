package meter

import (
	"math"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Workload is the service or job that a task belongs to: the team that is billed,
	// the workload's name and the size of one task.
	Workload struct {
		team        string
		name        string
		size        sizer.Size
		longRunning bool
	}

	// lineKey identifies a line of a usage record.
	lineKey struct {
		team     string
		workload string
	}
)

// NewWorkload returns a team's workload. Services and watch jobs are long-running ("standing"
// in the schema): their tasks don't end by themselves.
func NewWorkload(team, name string, size sizer.Size, longRunning bool) Workload {
	return Workload{team: team, name: name, size: size, longRunning: longRunning}
}

// Reservation returns the workload as the Reservation message of a STARTING event.
func (w Workload) Reservation() *schema.Reservation {
	return &schema.Reservation{
		Team: w.team, Work: w.name, Standing: w.longRunning,
		Millicores: w.size.Millicores(), MemoryBytes: w.size.MemoryBytes(), Accelerators: w.size.Accelerators(),
	}
}

func workloadOf(r *schema.Reservation) Workload {
	size := sizer.New(r.GetMillicores(), r.GetMemoryBytes(), r.GetAccelerators())
	return NewWorkload(r.GetTeam(), r.GetWork(), size, r.GetStanding())
}

func (w Workload) lineKey() lineKey { return lineKey{team: w.team, workload: w.name} }

// reserved returns the amounts that one task reserves in a time span of length d. Memory
// is rounded up to whole MiB for each task.
func (w Workload) reserved(d clock.Millis) Amounts {
	return Amounts{
		ReservedProcessors:   w.size.Millicores() * int64(d),
		ReservedMemory:       mebibytes(w.size.MemoryBytes()) * int64(d),
		ReservedAccelerators: w.size.Accelerators() * int64(d),
		TaskMillis:           int64(d),
	}
}

// wasted returns the amounts that one task wastes if all of a time span of length d is
// lost.
func (w Workload) wasted(d clock.Millis) Amounts {
	h := w.reserved(d)
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
