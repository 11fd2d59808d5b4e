package imitator

import (
	"fmt"
	"strconv"
	"strings"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// task is one incarnation (run) of a task on a worker. Its times are readings of the
	// worker's uptime, except resumedProgress: the run time that earlier incarnations had
	// reached at the checkpoint from which this one resumed.
	task struct {
		order           provider.StartOrder
		size            sizer.Size
		phase           provider.TaskPhase
		started         clock.Millis
		sampledUntil    clock.Millis
		resumedProgress clock.Millis
		endsAt          clock.Millis
		endedAt         clock.Millis
		leaseUntil      clock.Millis
		checkpoint      string
		behaviour       Behaviour
		cpuPermille     int
	}
)

// finalPhase returns the phase in which the task ends if it is neither stopped nor lapses.
func (t *task) finalPhase() provider.TaskPhase {
	if t.behaviour.Fails {
		return provider.PhaseFailed
	}
	return provider.PhaseSucceeded
}

func (t *task) report(i provider.Incarnation, now clock.Millis) provider.TaskReport {
	r := provider.TaskReport{
		Shard:       t.order.Fence.Shard,
		Incarnation: i,
		Size:        t.order.Size,
		Phase:       t.phase,
		LeaseUntil:  int64(t.leaseUntil),
		Checkpoint:  t.checkpoint,
		RanFor:      int64(now - t.started),
	}
	if t.phase != provider.PhaseRunning {
		r.RanFor = int64(t.endedAt - t.started)
	}
	if t.phase == provider.PhaseSucceeded || t.phase == provider.PhaseFailed {
		r.Answer = t.behaviour.Answer
	}
	return r
}

// checkpointAt saves a checkpoint "ran-<milliseconds>" with the total run time up to now,
// including that of the earlier incarnations up to the checkpoint from which this one
// resumed.
func (t *task) checkpointAt(now clock.Millis) {
	if t.phase == provider.PhaseRunning {
		t.checkpoint = fmt.Sprintf("ran-%d", t.resumedProgress+now-t.started)
	}
}

// checkpointProgress returns the run time in a checkpoint, or 0 if the checkpoint is empty
// or malformed.
func checkpointProgress(checkpoint string) clock.Millis {
	n, err := strconv.ParseInt(strings.TrimPrefix(checkpoint, "ran-"), 10, 64)
	if err != nil {
		return 0
	}
	return clock.Millis(n)
}
