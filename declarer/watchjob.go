package declarer

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// WatchJob is a permanent job that checks something periodically. Only one
	// instance of it runs at a time.
	WatchJob struct {
		Name string         `json:"name"`
		Team string         `json:"team"`
		Size sizer.Document `json:"size"`
		// Period is the time between checks.
		Period clock.Millis `json:"period"`
		// Tracks is the name of what the job watches; the scheduler doesn't use it.
		Tracks   string `json:"tracks"`
		Priority int    `json:"priority"`
		// Class groups work whose interference on shared workers is learned
		// together.
		Class string `json:"class"`
	}
)

// Defaults sets the default of each omitted field.
func (w *WatchJob) Defaults() {
	w.Class = cmp.Or(w.Class, "watch")
	w.Priority = cmp.Or(w.Priority, defaultPriority)
}

// Validate adds every error in w to v.
func (w WatchJob) Validate(v *Validator) {
	v.name("name", w.Name)
	v.name("team", w.Team)
	v.name("class", w.Class)
	v.taskSize("size", w.Size)
	v.between("period", int64(w.Period), 1, int64(MaxRunTime))
	v.between("priority", int64(w.Priority), 0, MaxPriority)
	if w.Tracks == "" {
		v.missing("tracks")
	}
}
