package checker

import "galenawharf.example/galenawharf/clock"

type (
	// noRunRule reports work and requests that ran, before or after a caller got the
	// answer that they did not and will not run. noRun holds the work keys and request
	// names with such an answer.
	noRunRule struct {
		ran   map[string]bool
		noRun map[string]bool
	}
)

func newNoRunRule() *noRunRule { return &noRunRule{ran: map[string]bool{}, noRun: map[string]bool{}} }

func (n *noRunRule) observe(e Event) []Violation {
	switch e.kind {
	case runStarted:
		return n.recordRun(e, e.incarnation.Task)
	case requestDispatched:
		return n.recordRun(e, e.request)
	case workAnswered:
		// newViolation takes the task of the violation from the incarnation.
		e.incarnation.Task = e.key
		return n.recordAnswer(e, e.key)
	case requestAnswered:
		return n.recordAnswer(e, e.request)
	}
	return nil
}

func (n *noRunRule) recordRun(e Event, name string) []Violation {
	n.ran[name] = true
	if n.noRun[name] {
		return newViolation("not-run", e, "%s ran after the caller was answered that it will not run", name)
	}
	return nil
}

func (n *noRunRule) recordAnswer(e Event, name string) []Violation {
	if !e.notRun {
		return nil
	}
	n.noRun[name] = true
	if n.ran[name] {
		return newViolation("not-run", e, "the caller was answered that %s did not run, but it did", name)
	}
	return nil
}

func (n *noRunRule) finish(clock.Millis) []Violation { return nil }
