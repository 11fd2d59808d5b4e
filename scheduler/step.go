package scheduler

import (
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// Step is a set of identical tasks of a job.
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
		// Gang tasks work only while all of them are running.
		Gang bool `json:"gang,omitempty"`
		// Colocate tasks are slow unless they run in the same rack.
		Colocate bool `json:"colocate,omitempty"`
		// Label is a required label of the worker; empty for any worker.
		Label string `json:"label,omitempty"`
		// Rack is where the data of the step is; tasks are slow elsewhere.
		Rack string `json:"rack,omitempty"`
		// PerWorker bounds the tasks of the step on one worker; 0 means no bound.
		PerWorker int `json:"per-worker,omitempty"`
		// Speculative tasks may run in several copies.
		Speculative bool `json:"speculative,omitempty"`
		// LongRunning tasks run until the job is cancelled.
		LongRunning bool `json:"long-running,omitempty"`
		// Checkpointing tasks resume from a saved state.
		Checkpointing bool `json:"checkpointing,omitempty"`
		// Image names the program; tasks of one image have the same load profile.
		Image string `json:"image,omitempty"`
		// Objective bounds the tail latency of a serving task; 0 for other tasks.
		Objective clock.Millis `json:"objective,omitempty"`
		// Filler tasks use the processor time that serving tasks leave; their CPU is not
		// reserved on the worker.
		Filler bool `json:"filler,omitempty"`
		// MaxUnavailable bounds the tasks of the step that may be unavailable at once
		// because of the upkeep of machines; 0 means no bound.
		MaxUnavailable int `json:"max-unavailable,omitempty"`
	}
)

const (
	// maxTasks bounds the tasks of one occurrence of a job, so that its record stays
	// below the 256 KiB limit of the store at about 90 bytes a task. The customers'
	// widest job is 25 times smaller.
	maxTasks = 2048
	// maxSpecBytes is what the tasks leave of the record.
	maxSpecBytes = 72 << 10
	// stepBytes and indexBytes are the sizes of a step without its strings, and of a number of a step,
	// in a record.
	stepBytes  = 200
	indexBytes = 5
	// maxResource bounds each resource of a task, so that sums of all tasks don't overflow. No worker
	// has a thousandth of it.
	maxResource = 1 << 40
	// maxTaskTime bounds the estimate and the objective of a task.
	maxTaskTime = 10 * 365 * clock.Day
	// maxRepeat bounds the occurrences of a job, which each leader goes through: one a minute for two
	// months.
	maxRepeat = 100_000
	// maxPeriod and maxFirstDue keep the times of occurrences within what 64 bits hold.
	maxPeriod   = 10 * 365 * clock.Day
	maxFirstDue = 10_000 * 365 * clock.Day
	// maxOpenTasks bounds the tasks of the occurrences of a job that are due at once. Others are opened
	// when these are done.
	maxOpenTasks = 32 * maxTasks
)

func (s *Step) validate(i int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errors.Errorf("step %d: count %d is not in 1 to %d", i, s.Count, maxTasks)
	}
	if s.CPU < 0 || s.Memory < 0 || s.GPU < 0 || s.Estimate < 0 || s.PerWorker < 0 {
		return errors.Errorf("step %d: a resource, the estimate or the bound per worker is negative", i)
	}
	if max(s.CPU, s.Memory, s.GPU) > maxResource || s.Estimate > maxTaskTime || s.Objective < 0 || s.Objective > maxTaskTime || s.MaxUnavailable < 0 {
		return errors.Errorf("step %d: a resource, the estimate, the objective or the bound of unavailable tasks is out of range", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return errors.Errorf("step %d: after refers to step %d, which is not an earlier step", i, a)
		}
	}
	return nil
}
