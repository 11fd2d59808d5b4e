package checker

import "galenawharf.example/galenawharf/clock"

type (
	// notRun: what a caller was told did not run did not, before or after.
	notRun struct {
		ran  map[string]bool
		told map[string]bool
	}
)

func newNotRun() *notRun { return &notRun{ran: map[string]bool{}, told: map[string]bool{}} }

func (n *notRun) see(e Event) []Violation {
	switch e.kind {
	case runStarted:
		return n.run(e, e.incarnation.Task)
	case requestDispatched:
		return n.run(e, e.request)
	case workAnswered:
		e.incarnation.Task = e.key
		return n.tell(e, e.key)
	case requestAnswered:
		return n.tell(e, e.request)
	}
	return nil
}

func (n *notRun) run(e Event, name string) []Violation {
	n.ran[name] = true
	if n.told[name] {
		return broken("not-run", e, "%s ran after the caller was told that it will not", name)
	}
	return nil
}

func (n *notRun) tell(e Event, name string) []Violation {
	if !e.notRun {
		return nil
	}
	n.told[name] = true
	if n.ran[name] {
		return broken("not-run", e, "the caller was told that %s did not run, but it did", name)
	}
	return nil
}

func (n *notRun) end(clock.Millis) []Violation { return nil }
