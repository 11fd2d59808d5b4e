package declarer

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// WatchJob is standing work that looks at something again and again. One
	// of it runs at a time.
	WatchJob struct {
		Name string         `json:"name"`
		Team string         `json:"team"`
		Size sizer.Document `json:"size"`
		// Period is the time from one look to the next.
		Period clock.Millis `json:"period"`
		// Tracks names what is watched.
		Tracks   string `json:"tracks"`
		Priority int    `json:"priority"`
		// Class names the kind of work whose disturbance is learnt together.
		Class string `json:"class"`
	}
)

// Defaults fills what was left out.
func (w *WatchJob) Defaults() {
	w.Class = cmp.Or(w.Class, "watch")
	w.Priority = cmp.Or(w.Priority, defaultPriority)
}

// Validate gives every fault of w.
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
