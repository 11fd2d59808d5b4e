package checker

import "galenawharf.example/galenawharf/clock"

type (
	// answered: each caller gets the complete answer to its own request, once.
	answered struct {
		want map[string]string
		got  map[string]bool
	}
)

func newAnswered() *answered {
	return &answered{want: map[string]string{}, got: map[string]bool{}}
}

func (a *answered) see(e Event) []Violation {
	switch e.kind {
	case requestSent:
		a.want[e.request] = e.payload
	case requestAnswered:
		return a.answer(e)
	}
	return nil
}

func (a *answered) answer(e Event) []Violation {
	want, sent := a.want[e.request]
	if !sent {
		return broken("answer", e, "an answer came to %s, which was not sent", e.request)
	}
	if a.got[e.request] {
		return broken("answer", e, "a second answer came to %s", e.request)
	}
	a.got[e.request] = true
	if !e.notRun && e.payload != want {
		return broken("answer", e, "%s was answered %q in place of %q", e.request, e.payload, want)
	}
	return nil
}

func (a *answered) end(clock.Millis) []Violation { return nil }
