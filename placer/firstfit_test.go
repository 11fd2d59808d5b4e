package placer

import (
	"testing"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/sizer"
)

func TestFirstFit(t *testing.T) {
	size := func(cores int64) sizer.Size { return sizer.New(cores*1000, cores*sizer.GiB, 0) }
	task := func(id string, cores int64) Task { return NewTask(id, "a", "w", "batch", Batch, size(cores)) }
	worker := func(name string, cores int64, closed bool) Worker {
		return NewWorker(name, "a", "r", size(cores), size(cores), nil, closed)
	}
	tests := map[string]struct {
		tasks   []Task
		workers []Worker
		want    []Decision
	}{
		"fills one, then the next": {
			tasks:   []Task{task("1", 3), task("2", 2), task("3", 1)},
			workers: []Worker{worker("x", 4, false), worker("y", 4, false)},
			want:    []Decision{NewDecision("1", "x"), NewDecision("2", "y"), NewDecision("3", "x")},
		},
		"skips closed workers":        {tasks: []Task{task("1", 1)}, workers: []Worker{worker("x", 4, true), worker("y", 4, false)}, want: []Decision{NewDecision("1", "y")}},
		"skips tasks that do not fit": {tasks: []Task{task("1", 9), task("2", 1)}, workers: []Worker{worker("x", 4, false)}, want: []Decision{NewDecision("2", "x")}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := FirstFit(0, tc.tasks, tc.workers)
			must.Len(t, len(tc.want), got)
			for i, d := range tc.want {
				must.Eq(t, d.Task(), got[i].Task())
				must.Eq(t, d.Worker(), got[i].Worker())
			}
		})
	}
}
