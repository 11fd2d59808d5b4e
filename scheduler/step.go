package scheduler

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Step is a set of equal tasks of a job.
	Step struct {
		Count int `json:"count"`
		// CPU is in thousandths of a core, Memory in MB, GPU in devices.
		CPU    int64 `json:"cpu,omitempty"`
		Memory int64 `json:"memory,omitempty"`
		GPU    int64 `json:"gpu,omitempty"`
		// Estimate is the declared run time of a task; it is often far off.
		Estimate clock.Millis `json:"estimate,omitempty"`
		// After lists the earlier steps that must be done first.
		After []int `json:"after,omitempty"`
		// Gang tasks work only while all of them are present.
		Gang bool `json:"gang,omitempty"`
		// Colocate tasks are slow unless they share a rack.
		Colocate bool `json:"colocate,omitempty"`
		// Label is one that the worker must have; empty for any worker.
		Label string `json:"label,omitempty"`
		// Rack holds the step's data; tasks are slow elsewhere.
		Rack string `json:"rack,omitempty"`
		// PerWorker bounds the tasks of the step on one worker; 0 is no bound.
		PerWorker int `json:"per-worker,omitempty"`
		// Speculative tasks may run in several copies.
		Speculative bool `json:"speculative,omitempty"`
		// LongRunning tasks run until the job is cancelled.
		LongRunning bool `json:"long-running,omitempty"`
		// Checkpointing tasks resume from a saved state.
		Checkpointing bool `json:"checkpointing,omitempty"`
		// Image names the program; tasks of one image behave alike.
		Image string `json:"image,omitempty"`
		// Objective bounds the tail latency of a task that serves; 0 for others.
		Objective clock.Millis `json:"objective,omitempty"`
		// Filler tasks use the processor time that others leave; their CPU is not
		// counted against the worker.
		Filler bool `json:"filler,omitempty"`
		// MaxUnavailable bounds how many tasks orders may take down at once.
		MaxUnavailable int `json:"max-unavailable,omitempty"`
	}
)

const (
	// maxTasks bounds the tasks of one occurrence of a job, so that its record stays
	// under the 256 KiB that the store takes at about 90 bytes a task, which is
	// 25 times the widest job of the users.
	maxTasks = 2048
)

func (s *Step) validate(i int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errors.Errorf("step %d: count %d is not in 1 to %d", i, s.Count, maxTasks)
	}
	if s.CPU < 0 || s.Memory < 0 || s.GPU < 0 || s.Estimate < 0 || s.PerWorker < 0 {
		return errors.Errorf("step %d: a size is negative", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return errors.Errorf("step %d: after names step %d, which is not an earlier one", i, a)
		}
	}
	return nil
}
